;; Commuter tag: sets the header X-Traffic: commuter on weekdays from 6:30 to 9:00 and from 17:00 to 19:30.
;; The operator file must grant that header in "writes". Requires the capability counters.
(module
  (import "peppergauge" "count" (func $count (param i32 i32 i64) (result i32)))
  (memory (export "memory") 1 1)
  (data (i32.const 0) "tagged")
  ;; The verdict: tag with one change, which sets a header with a name of 9 and a value of 8 characters.
  (data (i32.const 64) "\01\01\01\09\08\00X-Trafficcommuter")

  (func (export "abi_version") (result i32) (i32.const 1))
  (func (export "alloc") (param $size i32) (result i32) (i32.const 4096))

  ;; Returns whether $minute is at least $a and less than $b.
  (func $within (param $minute i32) (param $a i32) (param $b i32) (result i32)
    (i32.and (i32.ge_u (local.get $minute) (local.get $a)) (i32.lt_u (local.get $minute) (local.get $b))))

  (func (export "on_session") (param $p i32) (param $length i32) (result i64) (local $minute i32)
    (local.set $minute (i32.load16_u offset=4 (local.get $p)))
    ;; The record has the weekday at 3, from 1 (Monday) to 7.
    (if (i32.gt_u (i32.load8_u offset=3 (local.get $p)) (i32.const 5))
      (then (return (i64.const 0))))
    (if (i32.eqz (i32.or (call $within (local.get $minute) (i32.const 390) (i32.const 540))
          (call $within (local.get $minute) (i32.const 1020) (i32.const 1170))))
      (then (return (i64.const 0))))
    (drop (call $count (i32.const 0) (i32.const 6) (i64.const 1)))
    (i64.or (i64.shl (i64.const 64) (i64.const 32)) (i64.const 23))))

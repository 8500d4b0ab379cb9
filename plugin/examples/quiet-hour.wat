;; Quiet hour: denies requests of one class between two minutes of the local day, with a Retry-After.
;; Requires the capability config: "class", "from" and "until" (minutes of the day, from 0 to 1440, as decimal digits).
(module
  (import "peppergauge" "config" (func $config (param i32 i32 i32 i32) (result i32)))
  (memory (export "memory") 2 2)
  (data (i32.const 0) "class")
  (data (i32.const 8) "from")
  (data (i32.const 16) "until")
  ;; The verdict: deny, the length of the reason (10), the Retry-After (written below), the reason.
  (data (i32.const 64) "\02\0a\00\00\00\00quiet hour")
  (global $classLength (mut i32) (i32.const 0))
  (global $from (mut i32) (i32.const 0))
  (global $until (mut i32) (i32.const 0))

  (func (export "abi_version") (result i32) (i32.const 1))

  ;; Called once, so that it also reads the settings: the class is stored at 128, the record buffer is at 4096.
  (func (export "alloc") (param $size i32) (result i32)
    (global.set $classLength (call $config (i32.const 0) (i32.const 5) (i32.const 128) (i32.const 64)))
    (global.set $from (call $number (i32.const 8) (i32.const 4)))
    (global.set $until (call $number (i32.const 16) (i32.const 5)))
    (i32.const 4096))

  ;; Returns a setting as a number.
  (func $number (param $key i32) (param $length i32) (result i32) (local $end i32) (local $at i32) (local $n i32)
    (local.set $at (i32.const 200))
    (local.set $end (i32.add (i32.const 200)
      (call $config (local.get $key) (local.get $length) (i32.const 200) (i32.const 4))))
    (block $done
      (loop $next
        (br_if $done (i32.ge_s (local.get $at) (local.get $end)))
        (local.set $n (i32.add (i32.mul (local.get $n) (i32.const 10))
          (i32.sub (i32.load8_u (local.get $at)) (i32.const 48))))
        (local.set $at (i32.add (local.get $at) (i32.const 1)))
        (br $next)))
    (local.get $n))

  ;; Returns whether two texts of the same length are equal.
  (func $same (param $a i32) (param $b i32) (param $length i32) (result i32)
    (block $done
      (loop $next
        (br_if $done (i32.eqz (local.get $length)))
        (if (i32.ne (i32.load8_u (local.get $a)) (i32.load8_u (local.get $b)))
          (then (return (i32.const 0))))
        (local.set $a (i32.add (local.get $a) (i32.const 1)))
        (local.set $b (i32.add (local.get $b) (i32.const 1)))
        (local.set $length (i32.sub (local.get $length) (i32.const 1)))
        (br $next)))
    (i32.const 1))

  (func (export "on_session") (param $p i32) (param $length i32) (result i64) (local $minute i32)
    (local.set $minute (i32.load16_u offset=4 (local.get $p)))
    (if (i32.or (i32.lt_u (local.get $minute) (global.get $from)) (i32.ge_u (local.get $minute) (global.get $until)))
      (then (return (i64.const 0))))
    ;; The record has the offset of the class at 28 and its length at 30.
    (if (i32.ne (i32.load16_u offset=30 (local.get $p)) (global.get $classLength))
      (then (return (i64.const 0))))
    (if (i32.eqz (call $same (i32.add (local.get $p) (i32.load16_u offset=28 (local.get $p))) (i32.const 128)
          (global.get $classLength)))
      (then (return (i64.const 0))))
    ;; The time until the end of the quiet hour, at most one hour.
    (i32.store (i32.const 66) (call $least (i32.const 3600000)
      (i32.mul (i32.sub (global.get $until) (local.get $minute)) (i32.const 60000))))
    (i64.or (i64.shl (i64.const 64) (i64.const 32)) (i64.const 16)))

  (func $least (param $a i32) (param $b i32) (result i32)
    (select (local.get $a) (local.get $b) (i32.lt_u (local.get $a) (local.get $b)))))

;; Lets all requests pass for 10 s after the first one and loops endlessly from then on. Used with `play --daemon` to
;; measure the cost of a plug-in that starts to fail during operation; docs/PLUGINS.md has the figures.
(module
  (import "peppergauge" "clock" (func $clock (result i64)))
  (import "peppergauge" "kv_get" (func $get (param i32 i32 i32 i32) (result i32)))
  (import "peppergauge" "kv_set" (func $set (param i32 i32 i32 i32) (result i32)))
  (memory (export "memory") 2 2)
  (data (i32.const 64) "t")
  (func (export "abi_version") (result i32) (i32.const 1))
  (func (export "alloc") (param $size i32) (result i32) (i32.const 4096))
  (func (export "on_session") (param $p i32) (param $length i32) (result i64)
    ;; The start time is in the key-value store, since the instance is discarded after each failure.
    (if (i32.lt_s (call $get (i32.const 64) (i32.const 1) (i32.const 128) (i32.const 8)) (i32.const 0))
      (then
        (i64.store (i32.const 128) (call $clock))
        (drop (call $set (i32.const 64) (i32.const 1) (i32.const 128) (i32.const 8)))))
    (if (i64.gt_s (i64.sub (call $clock) (i64.load (i32.const 128))) (i64.const 10000))
      (then (loop $ever (br $ever))))
    (i64.const 0)))

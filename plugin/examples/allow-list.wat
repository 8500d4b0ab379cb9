;; Allow list: denies requests of tenants for which the settings have no key; its value does not matter.
;; Requires the capabilities config and counters.
(module
  (import "peppergauge" "config" (func $config (param i32 i32 i32 i32) (result i32)))
  (import "peppergauge" "count" (func $count (param i32 i32 i64) (result i32)))
  (memory (export "memory") 1 1)
  (data (i32.const 0) "turned-away")
  ;; The verdict: deny, a reason of 22 characters, no Retry-After.
  (data (i32.const 64) "\02\16\00\00\00\00tenant is not expected")

  (func (export "abi_version") (result i32) (i32.const 1))
  (func (export "alloc") (param $size i32) (result i32) (i32.const 4096))

  (func (export "on_session") (param $p i32) (param $length i32) (result i64)
    ;; The record has the offset of the tenant at 32 and its length at 34; a key has at most 256 bytes.
    (if (i32.le_u (i32.load16_u offset=34 (local.get $p)) (i32.const 256))
      (then
        (if (i32.ge_s (call $config (i32.add (local.get $p) (i32.load16_u offset=32 (local.get $p)))
              (i32.load16_u offset=34 (local.get $p)) (i32.const 0) (i32.const 0)) (i32.const 0))
          (then (return (i64.const 0))))))
    (drop (call $count (i32.const 0) (i32.const 11) (i64.const 1)))
    (i64.or (i64.shl (i64.const 64) (i64.const 32)) (i64.const 28))))

; What operators set themselves, beside what the platform tells a mixer as JSON.
; Every key may be left out; the values here are those that then count.

; The log of the command line; the daemon's goes by RUST_LOG and RUST_LOG_FORM.
(log
  (level warn)      ; error, warn, info, debug, trace
  (form text))      ; text, or json: one object a line

; How far `pewterwharf check` explores the decision module. A run follows what usually happens and departs from it
; so often: a part fails or hangs, a connection is lost, a searcher changes, the mixer restarts. Each further departure
; takes some tens of times as long; where the bound on states is met, the verdict says how far it came.
(explore
  (departures 2)    ; things that may go wrong in one run, 0 to 8
  (states 200000)   ; states looked at in one exploration
  (threads 8))      ; explorations that run side by side

; Announcements of service addresses; off unless this section is there. See docs/operators/bgp.md.
;
; (bgp
;   (as 64512) (id "10.0.0.1")
;   (peer (address "192.0.2.254:179") (as 64513) (hold 9s) (next-hop "192.0.2.1"))
;   (announce "198.51.100.1/32" (table-types "lookup"))
;   (up 0.9 5s) (down 0.5 1s) (stale 30s) (pressure 0.5) (changes 6) (drain 2s 5s)
;   (med 0 1000) (local-pref 100 0) (prepend 2))

; Mixers that know each other; off unless this section is there. The listener belongs on a network of the mixers' own.
; See docs/operators/fleet.md.
;
; (fleet
;   (name "praha")
;   (me "m1" (listen "192.0.2.1:7400"))
;   (peer "m2" "192.0.2.2:7400") (peer "m3" "192.0.2.3:7400"))

; A Unix socket at which a running mixer answers `pewterwharf bgp show`, `beliefs` and `fleet show`; none unless it is there.
;
; (console "/run/pewterwharf/mixer.sock")

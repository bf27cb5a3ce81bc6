; What must be true of the readers before the season begins.
;
;   cargo run --release -p pewterwharf-cli -- check examples/season/expectations.lisp
;
; Two of these fail on purpose: they show what a counterexample looks like.

(fleet
  (terms "mixer.json")            ; what a mixer is told at its start
  (list "list.json")              ; the searcher list, in discovery's form
  (slices "cerny-kral" 0 11)
  (slices "bila-vez" 8 17)        ; slices 8 to 11 are read by both
  (slices "dva-jezdci" 18 23)
  (pace (changes 1) (every 2s)))  ; how fast the list may grow wrong

(expect "two halls"
  (for-all-slices (of "cerny-kral") (reachable (halls 2))))

(expect "holders"
  (for-all-slices (reachable (searchers 3))))

(expect "hall lost"
  (after (lose-hall any) (for-all-slices (reachable (searchers 1)))))

(expect "hall and one more lost"
  (after (lose-hall any) (lose-searchers 1) (for-all-slices (reachable (searchers 1)))))

(expect "two lost"
  (after (lose-searchers 2) (for-all-slices (reachable (searchers 1)))))

(expect "a set restarts"
  (after (restart-set any) (for-all-slices (reachable (searchers 4)))))

(expect "old list, old readers"
  (while-list-younger 6s (for-all-slices (reachable (searchers 1)))))

; Half of a set stands in one hall: with it lost, the others bear twice the average.
(expect "capacity"
  (after (lose-hall any) (load-per-searcher-at-most 1.6)))

(expect "drains"
  (never (sent (table-type "result-entry") (to draining))))

(expect "results are entered once"
  (never (sent (table-type "result-entry") (beside))))

(expect "standings are whole or not given"
  (never (answered (table-type "standings") (not-whole))))

; Nothing tells a mixer that a reader has gone before the list does: this holds only while the list is fresh.
(expect "fresh only"
  (while-list-younger 6s (never (sent (to gone)))))

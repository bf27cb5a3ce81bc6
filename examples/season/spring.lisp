; The spring season: three readers change sets. What has to hold now, and after each step of the change:
;
;   cargo run --release -p pewterwharf-cli -- check examples/season/spring.lisp
;   cargo run --release -p pewterwharf-cli -- check examples/season/spring.lisp --against examples/season/expectations.lisp
;   cargo run --release -p pewterwharf-cli -- check plan --from examples/season/expectations.lisp --to examples/season/spring.lisp

(fleet
  (terms "mixer.json")
  (list "list-spring.json")
  (slices "cerny-kral" 0 11)
  (slices "bila-vez" 8 17)
  (slices "dva-jezdci" 18 23)
  (pace (changes 1) (every 2s)))

(expect "two halls"
  (for-all-slices (of "cerny-kral") (reachable (halls 2))))

(expect "holders"
  (for-all-slices (reachable (searchers 3))))

(expect "hall lost"
  (after (lose-hall any) (for-all-slices (reachable (searchers 1)))))

(expect "two lost"
  (after (lose-searchers 2) (for-all-slices (reachable (searchers 1)))))

; Copies stand beside what is not dropped yet; readers have room for so many.
(expect "room"
  (slices-per-searcher-at-most 8))

(expect "capacity"
  (after (lose-searcher any) (load-per-searcher-at-most 1.5)))

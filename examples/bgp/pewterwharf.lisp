; Announcements of one mixer with two service addresses. `pewterwharf try --bgp` starts a mixer on this file, with a stand-in
; peer in place of the one that it names.

(bgp
  (as 64512)
  (id "10.0.0.1")
  (peer (address "192.0.2.254:179") (as 64513) (hold 9s) (next-hop "192.0.2.1"))
  ; Scans that are whole with three fifths of their parts go to one address, those that need all to another, so that the
  ; first stays where the second has to go.
  (announce "198.51.100.1/32" (table-types "lookup"))
  (announce "198.51.100.2/32" (table-types "entry"))
  (up 0.9 500ms)
  (down 0.5 500ms)
  (drain 1s 1s))

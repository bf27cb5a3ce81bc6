; What operators set themselves, beside what the platform tells a mixer as JSON.
; Every key may be left out; the values here are those that then count.

(log
  (level warn)      ; error, warn, info, debug, trace
  (form text))      ; text, or json: one object a line

; How far `pewterwharf check` explores the decision module. More depth finds longer chains of events and takes
; about six times as long a step; where the bound on states is met, the verdict says so.
(explore
  (depth 6)         ; things that may happen one after another, 1 to 16
  (states 6000)     ; states looked at in one exploration
  (threads 4))      ; explorations that run side by side

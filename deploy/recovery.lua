-- Switches the recovery subsystem on: run with `--policy deploy/recovery.lua`.
-- docs/recovery-operations.md tells what each lever does. What is left out keeps its default.
return {
  recovery = {
    audit_slice = 50,       -- keys a read of the standing audit covers; 0: no audit
    audit_every_s = 2,      -- least seconds between two reads
    services_first_s = 20,  -- how long services' images come first after a take-over; 0: not
    fetches_per_zone = 8,   -- fetches for lower ranks under way in a zone meanwhile
    most_term_gap = 1000000 -- how far the term counter is raised by itself
  },
}

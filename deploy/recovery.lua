-- Policy script that switches the recovery subsystem on: run with `--policy deploy/recovery.lua`.
-- docs/recovery-operations.md describes each setting. A setting that is left out keeps its default.
return {
  recovery = {
    audit_slice = 50,       -- keys in one read of the continuous audit; 0 switches the audit off
    audit_every_s = 2,      -- minimum time between two reads of the audit, in seconds
    services_first_s = 20,  -- seconds after a failover in which services that lack replicas fetch images first; 0: off
    fetches_per_zone = 8,   -- maximum concurrent image fetches for lower ranks in a zone during that time
    most_term_gap = 1000000 -- largest gap by which the fencing-token counter is raised without an operator
  },
}

//! Settings of the recovery subsystem, which operators set in the policy script.

use std::time::Duration;

/// Settings of the recovery subsystem.
#[derive(Debug, Clone, PartialEq)]
pub struct RecoveryPolicy {
    /// Number of keys that the audit reads in one slice; 0 turns the audit off.
    pub audit_slice_keys: f64,
    /// Minimum interval between two slices of the audit, in seconds.
    pub audit_interval_s: f64,
    /// How long after a failover image fetches for services that lack replicas have priority
    /// over those below production rank, in seconds; 0 turns the priority off.
    pub services_first_s: f64,
    /// Maximum number of concurrent image fetches below production rank in a zone while
    /// services have priority.
    pub fetches_per_zone: f64,
    /// How far the fencing-token counter may be raised in one step to reach a token that a
    /// worker has seen. A larger gap is reported and left to the operator.
    pub max_fencing_token_gap: f64,
}

impl Default for RecoveryPolicy {
    fn default() -> Self {
        Self {
            audit_slice_keys: 50.0,
            audit_interval_s: 2.0,
            services_first_s: 20.0,
            fetches_per_zone: 8.0,
            max_fencing_token_gap: 1_000_000.0,
        }
    }
}

/// Name, field and allowed range of one setting.
pub struct PolicySetting {
    /// Name of the setting in the Lua script.
    pub name: &'static str,
    /// Accessor of the field that stores the value.
    pub field: fn(&mut RecoveryPolicy) -> &mut f64,
    /// Smallest allowed value.
    pub min: f64,
    /// Largest allowed value.
    pub max: f64,
    /// Whether only integers are allowed.
    pub is_integer: bool,
}

/// All settings of this subsystem that a policy script may change.
pub const POLICY_SETTINGS: &[PolicySetting] = &[
    PolicySetting {
        name: "audit_slice",
        field: |p| &mut p.audit_slice_keys,
        min: 0.0,
        max: 1000.0,
        is_integer: true,
    },
    PolicySetting {
        name: "audit_every_s",
        field: |p| &mut p.audit_interval_s,
        min: 0.2,
        max: 3600.0,
        is_integer: false,
    },
    PolicySetting {
        name: "services_first_s",
        field: |p| &mut p.services_first_s,
        min: 0.0,
        max: 120.0,
        is_integer: false,
    },
    PolicySetting {
        name: "fetches_per_zone",
        field: |p| &mut p.fetches_per_zone,
        min: 1.0,
        max: 1e6,
        is_integer: true,
    },
    PolicySetting {
        name: "most_term_gap",
        field: |p| &mut p.max_fencing_token_gap,
        min: 1.0,
        max: 1e9,
        is_integer: true,
    },
];

impl RecoveryPolicy {
    /// Number of keys that the audit reads in one slice; 0 if the audit is off.
    pub fn audit_slice_size(&self) -> u32 {
        self.audit_slice_keys as u32
    }

    /// Minimum interval between two slices of the audit.
    pub fn audit_interval(&self) -> Duration {
        Duration::from_secs_f64(self.audit_interval_s)
    }

    /// How long after a failover image fetches for services have priority.
    pub fn service_priority_duration(&self) -> Duration {
        Duration::from_secs_f64(self.services_first_s)
    }
}

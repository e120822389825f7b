//! A stored value with the mod revision of its key.

use pulleywood_protocol::Revision;

/// A value and the mod revision of the key that holds it. The default has revision 0,
/// which the store uses for a key that does not exist.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The decoded value.
    pub value: T,
    /// Revision at which the value was written; 0 if the key does not exist.
    pub revision: Revision,
}

impl<T> Versioned<T> {
    /// Pairs a value with the revision at which it was written.
    pub fn new(value: T, revision: Revision) -> Self {
        Self { value, revision }
    }
}

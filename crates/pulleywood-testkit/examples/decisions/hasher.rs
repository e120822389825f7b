//! Hashes a sequence of decisions.

/// The FNV-1a hash, with 64 bits, of everything added so far.
pub struct DecisionHasher(u64);

impl Default for DecisionHasher {
    fn default() -> Self {
        DecisionHasher(0xcbf2_9ce4_8422_2325)
    }
}

impl DecisionHasher {
    /// Adds the number of bytes and the bytes.
    pub fn add_bytes(&mut self, bytes: &[u8]) {
        self.add_number(bytes.len() as u64);
        self.mix(bytes);
    }

    /// Adds the length of the text in bytes and its UTF-8 bytes.
    pub fn add_text(&mut self, text: &str) {
        self.add_bytes(text.as_bytes());
    }

    /// Adds a number as eight bytes, least significant first.
    pub fn add_number(&mut self, number: u64) {
        self.mix(&number.to_le_bytes());
    }

    /// Adds a flag as the number 1 or 0.
    pub fn add_flag(&mut self, flag: bool) {
        self.add_number(u64::from(flag));
    }

    fn mix(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 ^= u64::from(*byte);
            self.0 = self.0.wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// The hash of everything added so far.
    pub fn finish(&self) -> u64 {
        self.0
    }
}

//! CBOR encoding and strict decoding of message bodies and stored values.

use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};

pub use ciborium::Value;

/// Why a body could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not well-formed CBOR, or not of the expected type.
    #[error("malformed CBOR: {0}")]
    Malformed(String),
    /// This many bytes follow the first item.
    #[error("{0} trailing bytes after the CBOR item")]
    Trailing(usize),
}

/// Encodes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    // Writing to a Vec cannot fail, and all types of this crate can be serialized.
    if ciborium::into_writer(value, &mut out).is_err() {
        out.clear();
    }
    out
}

/// Decodes exactly one CBOR item.
///
/// # Errors
///
/// The bytes are not exactly one item of the expected type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, 32)
        .map_err(|e| DecodeError::Malformed(e.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(DecodeError::Trailing(rest.len()))
    }
}

/// Converts data to a value of the state service.
pub fn to_value<T: Serialize>(value: &T) -> Value {
    Value::serialized(value).unwrap_or(Value::Null)
}

/// Converts a value of the state service to data.
///
/// # Errors
///
/// The value is not of the expected type.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Result<T, DecodeError> {
    value
        .deserialized()
        .map_err(|e| DecodeError::Malformed(e.to_string()))
}

/// A decimal number. Other programs may also write it as an integer.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize)]
#[serde(transparent)]
pub struct Amount(pub f64);

impl<'de> Deserialize<'de> for Amount {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct AmountVisitor;
        impl serde::de::Visitor<'_> for AmountVisitor {
            type Value = Amount;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a number")
            }
            fn visit_f64<E>(self, value: f64) -> Result<Amount, E> {
                Ok(Amount(value))
            }
            fn visit_u64<E>(self, value: u64) -> Result<Amount, E> {
                Ok(Amount(value as f64))
            }
            fn visit_i64<E>(self, value: i64) -> Result<Amount, E> {
                Ok(Amount(value as f64))
            }
        }
        deserializer.deserialize_any(AmountVisitor)
    }
}

//! Helpers for CBOR values, which the stand-ins read and write without the product's types.

use ciborium::Value;

pub fn text(s: &str) -> Value {
    Value::Text(s.to_owned())
}

pub fn int(n: u64) -> Value {
    Value::Integer(n.into())
}

pub fn map(fields: &[(&str, Value)]) -> Value {
    Value::Map(fields.iter().map(|(k, v)| (text(k), v.clone())).collect())
}

pub fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let fields = value.as_map()?;
    let found = fields.iter().find(|(k, _)| k.as_text() == Some(name));
    found.map(|(_, v)| v).filter(|v| !v.is_null())
}

pub fn text_of(value: &Value, name: &str) -> Option<String> {
    field(value, name)?.as_text().map(str::to_owned)
}

pub fn int_of(value: &Value, name: &str) -> Option<u64> {
    u64::try_from(field(value, name)?.as_integer()?).ok()
}

pub fn num_of(value: &Value, name: &str) -> Option<f64> {
    match field(value, name)? {
        Value::Float(x) => Some(*x),
        Value::Integer(n) => Some(i128::from(*n) as f64),
        _ => None,
    }
}

pub fn bool_of(value: &Value, name: &str) -> Option<bool> {
    field(value, name)?.as_bool()
}

pub fn list_of<'a>(value: &'a Value, name: &str) -> &'a [Value] {
    field(value, name)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}

pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(value, &mut out).expect("writing to memory");
    out
}

pub fn decode(bytes: &[u8]) -> Option<Value> {
    ciborium::from_reader(bytes).ok()
}

/// The value as JSON, the form in which the pages count sizes.
pub fn json(value: &Value) -> serde_json::Value {
    use serde_json::Value as J;
    match value {
        Value::Integer(n) => {
            let n = i128::from(*n);
            u64::try_from(n).map_or_else(|_| J::from(n as i64), J::from)
        }
        Value::Float(x) => J::from(*x),
        Value::Text(s) => J::from(s.as_str()),
        Value::Bool(b) => J::from(*b),
        Value::Array(a) => J::Array(a.iter().map(json).collect()),
        Value::Map(m) => J::Object(
            m.iter()
                .map(|(k, v)| (k.as_text().unwrap_or("?").to_owned(), json(v)))
                .collect(),
        ),
        _ => J::Null,
    }
}

pub fn json_len(value: &Value) -> usize {
    json(value).to_string().len()
}

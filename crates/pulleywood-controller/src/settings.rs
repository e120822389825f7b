//! Reads and checks the settings file.

use pulleywood_protocol::settings::Settings;
use std::path::Path;

/// Why settings cannot be used. Each error begins with the name of the file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{0}: failed to read the settings: {1}")]
    Read(String, std::io::Error),
    /// The text is not JSON, or lacks a field or has one of another type. The message has the
    /// line and the column.
    #[error("{0}: failed to parse the settings: {1}")]
    Parse(String, serde_json::Error),
    /// A value is out of range or malformed. The message has the path of the key.
    #[error("{0}: invalid setting {1}")]
    InvalidSetting(String, pulleywood_protocol::settings::InvalidSetting),
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// The file cannot be read, is not valid JSON, or has an invalid setting.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Read(name.clone(), e))?;
    parse(&text, &name)
}

/// Parses and checks the text of a settings file. `name` is the file name for errors.
///
/// # Errors
///
/// The text is not valid JSON, or has an invalid setting.
pub fn parse(text: &str, name: &str) -> Result<Settings, SettingsError> {
    let settings: Settings =
        serde_json::from_str(text).map_err(|e| SettingsError::Parse(name.to_owned(), e))?;
    settings
        .check()
        .map_err(|e| SettingsError::InvalidSetting(name.to_owned(), e))?;
    Ok(settings)
}

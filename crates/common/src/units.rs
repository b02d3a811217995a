//! Durations and sizes in configurations, always with a unit.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;
use std::time::Duration;

/// A duration: `"250ms"`, `"2s"`, `"1m 30s"`. A number without a unit is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub Duration);

/// A number of bytes: `"64KiB"`, `"1.5MiB"`, `"200B"`. A number without a unit is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// Why a text is not a duration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a time such as \"250ms\" or \"2s\": {reason}")]
pub struct InvalidTime {
    text: String,
    reason: String,
}

/// Why a text is not a size.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a size such as \"64KiB\" or \"200B\": {reason}")]
pub struct InvalidSize {
    text: String,
    reason: String,
}

impl Time {
    /// That many milliseconds.
    pub const fn ms(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }
}

impl std::str::FromStr for Time {
    type Err = InvalidTime;

    fn from_str(text: &str) -> Result<Self, InvalidTime> {
        let invalid = |reason: String| InvalidTime {
            text: text.to_owned(),
            reason,
        };
        // humantime accepts a bare 0; here a unit is required.
        if text.trim().bytes().all(|b| b.is_ascii_digit()) {
            return Err(invalid("no unit".to_owned()));
        }
        humantime::parse_duration(text)
            .map(Self)
            .map_err(|error| invalid(error.to_string()))
    }
}

impl std::str::FromStr for Size {
    type Err = InvalidSize;

    fn from_str(text: &str) -> Result<Self, InvalidSize> {
        let invalid = |reason: String| InvalidSize {
            text: text.to_owned(),
            reason,
        };
        if !text.trim_end().ends_with(['b', 'B']) {
            return Err(invalid("no unit".to_owned()));
        }
        text.parse::<bytesize::ByteSize>()
            .map(|size| Self(size.as_u64()))
            .map_err(invalid)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.is_zero() {
            true => f.write_str("0s"),
            false => humantime::format_duration(self.0).fmt(f),
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units = [(1u64 << 30, "GiB"), (1 << 20, "MiB"), (1 << 10, "KiB")];
        let unit = units
            .iter()
            .find(|(bytes, _)| self.0 > 0 && self.0.is_multiple_of(*bytes));
        let (bytes, name) = unit.unwrap_or(&(1, "B"));
        write!(f, "{}{name}", self.0 / bytes)
    }
}

macro_rules! serialize_as_text {
    ($name:ident, $what:literal) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct Text;
                impl de::Visitor<'_> for Text {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str($what)
                    }

                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$name, E> {
                        text.parse().map_err(E::custom)
                    }
                }
                deserializer.deserialize_str(Text)
            }
        }
    };
}

serialize_as_text!(Time, "a time with its unit, such as \"250ms\"");
serialize_as_text!(Size, "a size with its unit, such as \"64KiB\"");

#[cfg(test)]
mod tests;

//! A line of the simulator's protocol: a message name and its fields.

use super::error::LineError;
use crate::api::{LoadReport, Outcome};
use std::str::FromStr;

/// A line, split into its message name and its fields.
pub struct Line<'a> {
    /// The message name.
    pub name: &'a str,
    fields: &'a str,
}

impl<'a> Line<'a> {
    pub fn new(text: &'a str) -> Self {
        let (name, fields) = text.split_once(' ').unwrap_or((text, ""));
        Self { name, fields }
    }
    pub fn find(&self, field: &str) -> Option<&'a str> {
        self.fields
            .split(' ')
            .find_map(|part| part.strip_prefix(field)?.strip_prefix('='))
    }
    /// Returns the value of a text field, which extends to the end of the line.
    pub fn text(&self, field: &str) -> Result<&'a str, LineError> {
        let mut fields = self.fields;
        loop {
            if let Some(value) = fields.strip_prefix(field).and_then(|r| r.strip_prefix('=')) {
                return Ok(value);
            }
            fields = fields.split_once(' ').ok_or_else(|| self.missing(field))?.1;
        }
    }
    fn missing(&self, field: &str) -> LineError {
        LineError::MissingField {
            message: self.name.to_owned(),
            field: field.to_owned(),
        }
    }
    pub fn required(&self, field: &str) -> Result<&'a str, LineError> {
        self.find(field).ok_or_else(|| self.missing(field))
    }
    pub fn optional<T: FromStr>(&self, field: &str) -> Result<Option<T>, LineError> {
        self.find(field)
            .map(|v| {
                v.parse().map_err(|_| LineError::NotANumber {
                    message: self.name.to_owned(),
                    field: field.to_owned(),
                })
            })
            .transpose()
    }
    pub fn get<T: FromStr>(&self, field: &str) -> Result<T, LineError> {
        self.optional(field)?.ok_or_else(|| self.missing(field))
    }
    pub fn bounded_integer(&self, field: &str, bits: u32) -> Result<u64, LineError> {
        let value: u64 = self.get(field)?;
        if value >> bits == 0 {
            Ok(value)
        } else {
            Err(LineError::TooLarge {
                message: self.name.to_owned(),
                field: field.to_owned(),
            })
        }
    }
    pub fn load(&self) -> Result<LoadReport, LineError> {
        let mut load = LoadReport::default();
        for pair in self
            .find("Load")
            .unwrap_or("")
            .split(',')
            .filter(|p| !p.is_empty())
        {
            let (name, value) = pair.split_once(':').ok_or(LineError::LoadNotPairs)?;
            let slot = match name {
                "active" => &mut load.active,
                "waiting" => &mut load.waiting,
                "cpu" => &mut load.cpu,
                "avg_ms" => &mut load.avg_ms,
                "rps" => &mut load.rps,
                "err_rps" => &mut load.err_rps,
                _ => continue,
            };
            let value: f64 = value
                .parse()
                .map_err(|_| LineError::LoadNotANumber(name.to_owned()))?;
            *slot = Some(value).filter(|v| v.is_finite());
        }
        Ok(load)
    }
    pub fn outcome(&self) -> Result<Outcome, LineError> {
        Ok(match self.required("Disposition")? {
            "OK" => Outcome::Ok,
            "INTERNAL" => Outcome::Error,
            "RESOURCE_EXHAUSTED" => Outcome::Rejected,
            "DEADLINE_EXCEEDED" => Outcome::TimedOut,
            "UNAVAILABLE" => Outcome::ConnectFailed,
            "ABORTED" => Outcome::Reset,
            "CANCELLED" => Outcome::Cancelled,
            "TOO_LATE" => Outcome::NotSent,
            other => {
                return Err(LineError::UnknownValue {
                    message: self.name.to_owned(),
                    field: "Disposition",
                    value: other.to_owned(),
                });
            }
        })
    }
}

//! Tests of `config.rs`.

use super::*;
use crate::units::{Size, Time};
use serde::Deserialize;

#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Sample {
    pump: Pump,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Pump {
    least: Time,
    most: Time,
    tank: Size,
}

impl Default for Pump {
    fn default() -> Self {
        Self {
            least: Time::ms(5),
            most: Time::ms(250),
            tank: Size(1024),
        }
    }
}

impl Configuration for Sample {
    fn check(&self) -> Result<(), InvalidSetting> {
        if self.pump.least > self.pump.most {
            return Err(InvalidSetting::new(
                "pump.least",
                format!("above pump.most, {}", self.pump.most),
            ));
        }
        Ok(())
    }
}

fn error_message(text: &str) -> String {
    let problem = parse::<Sample>(Path::new("a.toml"), text).expect_err(text);
    let line = problem.to_string();
    assert!(!line.contains('\n'), "{line}");
    line
}

#[test]
fn every_section_is_optional_and_units_are_parsed() {
    let read = |text| parse::<Sample>(Path::new("a.toml"), text).expect(text);
    assert_eq!(read(""), Sample::default());
    assert_eq!(read("[pump]\nmost = \"2s\"\n").pump.most, Time::ms(2000));
    assert_eq!(
        read(&to_toml(&read("[pump]\ntank = \"3KiB\"\n"))).pump.tank,
        Size(3072)
    );
}

#[test]
fn an_error_is_one_line_with_file_line_and_key() {
    for (text, place) in [
        (
            "[pump]\nmoost = \"2s\"\n",
            "a.toml:2: pump.moost: unknown field",
        ),
        ("\n[pomp]\n", "a.toml:2: pomp: unknown field"),
        (
            "[pump]\n\nmost = 250\n",
            "a.toml:3: pump.most: invalid type",
        ),
        (
            "[pump]\nmost = \"250\"\n",
            "a.toml:2: pump.most: \"250\" is not a time",
        ),
        (
            "[pump]\nmost = \"64KiB\"\n",
            "a.toml:2: pump.most: \"64KiB\" is not a time",
        ),
        (
            "[pump]\ntank = \"2s\"\n",
            "a.toml:2: pump.tank: \"2s\" is not a size",
        ),
        (
            "[pump]\nmost = \"2s\"\nleast = \"3s\"\n",
            "a.toml:3: pump.least: above pump.most, 2s",
        ),
        ("[pump]\nmost = \"2s\"\nmost = \"3s\"\n", "a.toml:3: "),
        ("[pump]\nmost = \"2", "a.toml:2: "),
        ("[pump\n", "a.toml:1: "),
    ] {
        let said = error_message(text);
        assert!(said.starts_with(place), "{said}");
    }
    // A value left to its default has no line of its own.
    assert!(error_message("[pump]\nmost = \"1ms\"\n").starts_with("a.toml:1: pump.least: above"));
    let missing = load::<Sample>(Path::new("/nonexistent/a.toml")).expect_err("no file");
    assert!(
        missing
            .to_string()
            .starts_with("/nonexistent/a.toml: cannot read it: "),
        "{missing}"
    );
}

// A file as a writer may have it when the signal arrives.
#[test]
fn no_truncated_file_is_accepted_as_a_different_configuration() {
    let whole = "[pump]\nleast = \"5ms\"\nmost = \"250ms\"\ntank = \"64KiB\"\n";
    for length in 0..whole.len() {
        let truncated = parse::<Sample>(Path::new("a.toml"), &whole[..length]);
        // Truncated between lines it is a shorter file; anything else must be rejected.
        let at_line_end =
            whole[..length].ends_with('\n') || whole[length..].starts_with('\n') || length == 0;
        assert_eq!(truncated.is_ok(), at_line_end, "{:?}", &whole[..length]);
    }
}

#[test]
fn changed_keys_are_named() {
    let (old, mut new) = (Sample::default(), Sample::default());
    assert!(changed_keys(&old, &new).is_empty());
    (new.pump.tank, new.pump.most) = (Size(5), Time::ms(9));
    assert_eq!(changed_keys(&old, &new), ["pump.most", "pump.tank"]);
}

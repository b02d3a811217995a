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
    fn check(&self) -> Result<(), Contradiction> {
        if self.pump.least > self.pump.most {
            return Err(Contradiction::new(
                "pump.least",
                format!("above pump.most, {}", self.pump.most),
            ));
        }
        Ok(())
    }
}

fn said(text: &str) -> String {
    let problem = parse::<Sample>(Path::new("a.toml"), text).expect_err(text);
    let line = problem.to_string();
    assert!(!line.contains('\n'), "{line}");
    line
}

#[test]
fn every_section_is_optional_and_units_are_read() {
    let read = |text| parse::<Sample>(Path::new("a.toml"), text).expect(text);
    assert_eq!(read(""), Sample::default());
    assert_eq!(read("[pump]\nmost = \"2s\"\n").pump.most, Time::ms(2000));
    assert_eq!(
        read(&written(&read("[pump]\ntank = \"3KiB\"\n"))).pump.tank,
        Size(3072)
    );
}

#[test]
fn what_is_wrong_is_one_line_with_file_line_and_key() {
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
        let said = said(text);
        assert!(said.starts_with(place), "{said}");
    }
    // The value that is left to its default has no line of its own.
    assert!(said("[pump]\nmost = \"1ms\"\n").starts_with("a.toml:1: pump.least: above"));
    let missing = load::<Sample>(Path::new("/nonexistent/a.toml")).expect_err("no file");
    assert!(
        missing
            .to_string()
            .starts_with("/nonexistent/a.toml: cannot read it: "),
        "{missing}"
    );
}

// What a writer has got to when the signal comes.
#[test]
fn no_half_of_a_file_passes_for_another_configuration_of_known_keys() {
    let whole = "[pump]\nleast = \"5ms\"\nmost = \"250ms\"\ntank = \"64KiB\"\n";
    for length in 0..whole.len() {
        let half = parse::<Sample>(Path::new("a.toml"), &whole[..length]);
        // Cut between lines it is a shorter file; anywhere else it must not be taken.
        let between =
            whole[..length].ends_with('\n') || whole[length..].starts_with('\n') || length == 0;
        assert_eq!(half.is_ok(), between, "{:?}", &whole[..length]);
    }
}

#[test]
fn changed_keys_are_named() {
    let (old, mut new) = (Sample::default(), Sample::default());
    assert!(changed(&old, &new).is_empty());
    (new.pump.tank, new.pump.most) = (Size(5), Time::ms(9));
    assert_eq!(changed(&old, &new), ["pump.most", "pump.tank"]);
}

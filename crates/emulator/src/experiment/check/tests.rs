//! Tests of `check.rs`.

use super::*;
use load_balancer_common::config::parse;
use std::path::Path;

#[test]
fn invalid_files_get_a_one_line_message_with_the_position() {
    let good = "name = \"a\"\n[[variant]]\nname = \"today\"\n";
    let parse_experiment =
        |text: &str| parse::<Experiment>(Path::new("a.toml"), text).map_err(|p| p.to_string());
    assert_eq!(parse_experiment(good).map(|e| e.variant.len()), Ok(1));
    for (more, place) in [
        ("[topology]\nzones = 9\n", "a.toml:5: topology.zones: "),
        (
            "[topology]\nsidecrs = 9\n",
            "a.toml:5: topology.sidecrs: unknown field",
        ),
        ("[load]\nlasts = \"5 parsecs\"\n", "a.toml:5: load.lasts: "),
        ("[load]\nwarmup = \"20s\"\n", "a.toml:5: load.warmup: "),
        (
            "[[fault]]\nkind = \"servers-die\"\nat = \"99s\"\nlasts = \"1s\"\n",
            "a.toml:4: fault: ",
        ),
        (
            "[[fault]]\nkind = \"servers-vanish\"\nat = \"1s\"\nlasts = \"1s\"\n",
            "a.toml:5: fault[0].kind: ",
        ),
        (
            "[[variant]]\nname = \"today\"\n",
            "a.toml:2: variant: two have the same name",
        ),
        (
            "[[bounds.measure]]\nmeasure = \"served\"\n",
            "a.toml:4: bounds.measure: ",
        ),
    ] {
        let error = parse_experiment(&format!("{good}{more}")).expect_err(more);
        assert!(error.starts_with(place) && !error.contains('\n'), "{error}");
    }
}

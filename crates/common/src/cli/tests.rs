//! Tests of `cli.rs`.

use super::*;

#[derive(clap::Parser, Debug)]
struct Arguments {
    #[arg(long)]
    config: Option<String>,
}

#[test]
fn help_and_version_succeed_and_invalid_arguments_do_not() {
    let exit =
        |arguments: &[&str]| parse_from::<Arguments>(arguments.iter().copied()).map(|c| c.config);
    assert_eq!(exit(&["p"]), Ok(None));
    assert_eq!(exit(&["p", "--config", "a"]), Ok(Some("a".to_owned())));
    assert_eq!(exit(&["p", "--help"]), Err(Exit::Done));
    assert_eq!(exit(&["p", "--version"]), Err(Exit::Done));
    assert_eq!(exit(&["p", "--confg", "a"]), Err(Exit::Usage));
}

#[test]
fn the_help_lists_every_exit_code() {
    use Exit::*;
    for exit in [Done, Failed, Usage, Data, Unavailable, Software, Io, Config] {
        let stated = EXIT_CODES
            .lines()
            .any(|l| l.split_whitespace().next() == Some(&(exit as u8).to_string()));
        assert!(stated, "{exit:?}");
    }
}

//! `cowslipctl explain` finds the cause of a request in true log lines.

use {
    cowslipctl::{commands, error::ExitStatus, explain},
    std::{
        env, fs,
        path::{Path, PathBuf},
    },
};

const LOG: &str = include_str!("logs/trouble.log");

fn file(name: &str, text: &str) -> PathBuf {
    let path = env::temp_dir().join(format!("cowslip-explain-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("a file");
    path
}

fn reply(id: &str, path: &Path) -> cowslipctl::error::Result<String> {
    let path = path.to_str().expect("a path");
    let matches =
        cowslipctl::cli::build_command().get_matches_from(["cowslipctl", "explain", id, path]);
    let (_, matches) = matches.subcommand().expect("a subcommand");
    explain::explain_request(matches).map(|reply| reply.text)
}

#[test]
fn each_kind_of_failure_shows_its_cause() {
    let path = file("kinds", LOG);
    let cases = [
        ("7c5ee32bd7d4ed08", vec!["CC0701"], "overload"),
        (
            "9ea5b735c9cfa962",
            vec!["CC0510", "CC0701"],
            "answer to another request",
        ),
        (
            "884036a8f1cd48e4",
            vec!["CC0702", "CC0702", "CC0701", "CC0613"],
            "owner moved",
        ),
    ];
    for (id, codes, cause) in cases {
        let text = reply(id, &path).expect("an explanation");
        let found: Vec<&str> = text
            .lines()
            .filter_map(|line| line.split(' ').nth(2))
            .collect();
        assert_eq!(found, codes, "{text}");
        assert!(text.contains(cause), "{text}");
    }
    fs::remove_file(path).expect("the file is there");
}

#[tokio::test]
async fn an_unknown_request_is_said_to_be_unknown() {
    let path = file("unknown", LOG);
    assert!(reply("0000000000000000", &path).is_err());
    let args = [
        "cowslipctl",
        "explain",
        "0",
        path.to_str().expect("a path"),
        "--json",
    ];
    let exit = commands::run(args.map(Into::into)).await.expect("output");
    assert_eq!(exit, ExitStatus::Failure);
    fs::remove_file(path).expect("the file is there");
}

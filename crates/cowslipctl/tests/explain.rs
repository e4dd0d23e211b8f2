//! `cowslipctl explain` finds the causes of failed requests in recorded log lines.

use {
    cowslipctl::{commands, error::ExitStatus, explain},
    std::{
        env, fs,
        path::{Path, PathBuf},
    },
};

const LOG: &str = include_str!("logs/trouble.log");

fn write_log(name: &str, text: &str) -> PathBuf {
    let path = env::temp_dir().join(format!("cowslip-explain-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("log file");
    path
}

fn explain_text(id: &str, path: &Path) -> cowslipctl::error::Result<String> {
    let path = path.to_str().expect("UTF-8 path");
    let matches =
        cowslipctl::cli::build_command().get_matches_from(["cowslipctl", "explain", id, path]);
    let (_, matches) = matches.subcommand().expect("subcommand");
    explain::explain_request(matches).map(|output| output.text)
}

#[test]
fn failed_requests_are_explained_by_related_events() {
    let path = write_log("kinds", LOG);
    let cases = [
        // Refused under overload, with no related event.
        ("7c5ee32bd7d4ed08", vec!["CC0701"], "overload"),
        // The target sent the response to another request.
        (
            "9ea5b735c9cfa962",
            vec!["CC0510", "CC0701"],
            "answer to another request",
        ),
        // The key moved; the previous owner logged its release only after the request had failed.
        (
            "884036a8f1cd48e4",
            vec!["CC0702", "CC0702", "CC0701", "CC0613"],
            "owner moved",
        ),
    ];
    for (id, codes, cause) in cases {
        let text = explain_text(id, &path).expect("log lines");
        let found_codes: Vec<&str> = text
            .lines()
            .filter_map(|line| line.split(' ').nth(2))
            .collect();
        assert_eq!(found_codes, codes, "{text}");
        assert!(text.contains(cause), "{text}");
    }
    fs::remove_file(path).expect("log file removed");
}

#[tokio::test]
async fn unknown_request_fails() {
    let path = write_log("unknown", LOG);
    assert!(explain_text("0000000000000000", &path).is_err());
    let args = [
        "cowslipctl",
        "explain",
        "0",
        path.to_str().expect("UTF-8 path"),
        "--json",
    ];
    let exit_status = commands::run(args.map(Into::into)).await.expect("output");
    assert_eq!(exit_status, ExitStatus::Failure);
    fs::remove_file(path).expect("log file removed");
}

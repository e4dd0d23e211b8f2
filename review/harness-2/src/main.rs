//! Starts instances of the router as processes, with stand-ins for the platform, and brings about one case of the
//! review. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod backend;
mod deployment;
mod drill;
mod http;
mod json;
mod late_copy;
mod leaving;
mod odd_entry;
mod record;
mod restart;
mod store;
mod world;

use std::{env, path::Path, process::exit};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, repository, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE REPOSITORY FOLDER");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let paths = (Path::new(repository), Path::new(folder));
    let verdict = match case.as_str() {
        "late-copy" => late_copy::run(paths, has_trouble),
        "drill" => drill::run(paths, has_trouble),
        "restart" => restart::run(paths, has_trouble),
        "odd-entry" => odd_entry::run(paths, has_trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    match verdict {
        Verdict::Held => println!("held"),
        Verdict::Broken => {
            println!("broken");
            exit(1);
        }
        Verdict::NotRun(cause) => {
            eprintln!("not run: {cause}");
            exit(2);
        }
    }
}

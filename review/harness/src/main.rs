//! Runs one case of the review: `review-harness CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod aged;
mod deployment;
mod drip;
mod http;
mod instance;
mod json;
mod memory;
mod record;
mod store;
mod target;
mod twice;

use std::{path::Path, process::exit};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-harness CASE RECORD");
        exit(2)
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let folder = std::env::temp_dir().join(format!("cowslip-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let record = record::Record::create(Path::new(record));
    let is_broken = match case.as_str() {
        "aged" => aged::run(&folder, &record, is_troubled),
        "drip" => drip::run(&folder, &record, drip::Part::Requests, is_troubled),
        "drip-grants" => drip::run(&folder, &record, drip::Part::Grants, is_troubled),
        "twice" => twice::run(&folder, &record, is_troubled),
        other => {
            eprintln!("no case {other}");
            exit(2)
        }
    };
    record.line(if is_broken {
        "result: broken"
    } else {
        "result: held"
    });
    record.flush();
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    exit(i32::from(is_broken))
}

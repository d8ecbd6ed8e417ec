//! Stand-ins and cases of the second review. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case couldn't run.

mod case_pending;
mod case_rack;
mod http;
mod json;
mod record;
mod site;
mod store;
mod worker;

use std::process::ExitCode;
use std::time::Duration;

/// Time after which a case gives up; its entries end with it.
const TIME_MAX: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let folder = std::env::args().nth(2).unwrap_or_default();
    std::thread::spawn(|| {
        std::thread::sleep(TIME_MAX);
        std::process::exit(2);
    });
    // A stand-in that can't go on makes the case one that couldn't run.
    std::panic::set_hook(Box::new(|fault| {
        eprintln!("{fault}");
        std::process::exit(2);
    }));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match case.as_str() {
        "rack" => case_rack::run(folder.as_ref(), has_trouble),
        "pending" => case_pending::run(folder.as_ref(), has_trouble),
        _ => Verdict::NotRun,
    };
    match verdict {
        Verdict::Broken => ExitCode::from(1),
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::NotRun => ExitCode::from(2),
    }
}

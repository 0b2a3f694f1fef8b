//! Stand-ins of the third review, and the cases that use them.

mod cases;
mod client;
mod executor;
mod http;
mod json;
mod record;
mod relay;
mod system;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<_> = args.iter().map(String::as_str).collect();
    let code = match words[..] {
        ["twice", record] => cases::twice(record.as_ref()),
        ["seat-gap", record] => cases::seat_gap(record.as_ref()),
        ["cancel-lost", record] => cases::cancel_lost(record.as_ref()),
        ["cancelled-copy", record] => cases::cancelled_copy(record.as_ref()),
        ["both-sides", record] => cases::both_sides(record.as_ref()),
        _ => {
            eprintln!("usage: standins-3 CASE RECORD");
            2
        }
    };
    std::process::exit(code);
}

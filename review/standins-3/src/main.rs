//! Stand-ins of the third review, and the cases that use them.

mod cases;
mod client;
mod executor;
mod http;
mod json;
mod record;
mod relay;
mod soak;
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
        ["soak", record, seed, seconds, ..] => match (seed.parse(), seconds.parse()) {
            (Ok(seed), Ok(seconds)) => {
                soak::run(record.as_ref(), seed, seconds, soak::Modes::parse(&args[4..]))
            }
            _ => 2,
        },
        _ => {
            eprintln!(
                "usage: standins-3 CASE RECORD | soak RECORD SEED SECONDS [cuts] [late] [operator]"
            );
            2
        }
    };
    std::process::exit(code);
}

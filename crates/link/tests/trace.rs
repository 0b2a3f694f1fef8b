//! Parsing and formatting of the W3C trace context.

use link::Context;
use proptest::prelude::*;

#[test]
fn good_and_bad() {
    let good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let context: Context = good.parse().unwrap();
    assert_eq!(context.to_string(), good);
    assert!(context.is_sampled());
    let child = context.child();
    assert_eq!(child.trace(), context.trace());
    assert_ne!(child.span(), context.span());
    let bad = [
        "",
        "00",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
        "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
        "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
    ];
    for text in bad {
        assert!(text.parse::<Context>().is_err(), "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(512)
    })]

    /// A parsed context is formatted as the same text, except for the version and the bits that
    /// version 00 leaves undefined.
    #[test]
    fn any_context(at in 0..55_usize, cut in 0..6_usize, with in "[0-9a-f-]{0,6}") {
        let good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        let text = format!("{}{with}{}", &good[..at], &good[(at + cut).min(good.len())..]);
        if let Ok(context) = text.parse::<Context>() {
            prop_assert_eq!(&context.to_string()[3..52], &text[3..52]);
        }
    }
}

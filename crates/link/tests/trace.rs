//! W3C trace context.

use link::Context;

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

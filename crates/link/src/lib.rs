//! Transport: HTTP listeners, streams between instances, calls to upstreams, spans and metrics.
//!
//! This crate makes no scheduling decisions. Listeners pass requests to an [`http::Handler`] and
//! peer messages to a [`peer::Inbox`]. The embedding program answers asynchronously, so that no
//! thread is blocked while a request is pending.
//!
//! ```
//! let parent: link::trace::Context =
//!     "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".parse().unwrap();
//! assert_eq!(parent.child().trace(), parent.trace());
//! ```

pub mod caller;
pub mod error;
mod gate;
pub mod http;
pub mod metric;
pub mod peer;
pub mod pool;
mod socket;
pub mod span;
pub mod task;
pub mod trace;
pub mod vital;

pub use error::Error;
pub use trace::Context;

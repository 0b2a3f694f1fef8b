//! Compression of the text of the configuration.
//!
//! Every instance receives each version, and keepers store it.

use std::io::Read as _;

use bytes::Bytes;
use flate2::{Compression, bufread};

/// Maximum size of a text, in bytes: no request of the operator may be larger, and compressed input
/// could expand to any size.
const MAX_TEXT: u64 = 64 << 20;

/// Error for input that cannot be decompressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The input is not the output of [`compress`].
    Broken,
    /// The text is larger than 64 MB.
    TooLong,
}

/// Compresses a text; the same text always gives the same bytes.
pub fn compress(text: &[u8]) -> Bytes {
    let mut packed = Vec::new();
    let mut reader = bufread::DeflateEncoder::new(text, Compression::fast());
    // A read from memory into memory does not fail.
    drop(reader.read_to_end(&mut packed));
    packed.into()
}

/// Decompresses the output of [`compress`].
///
/// # Errors
///
/// Fails if the input is not the output of [`compress`], or if the text is too large.
///
/// ```
/// use dispatch::compression;
///
/// let packed = compression::compress(b"text");
/// assert_eq!(compression::decompress(&packed).unwrap(), "text");
/// assert_eq!(compression::decompress(b"text"), Err(compression::Error::Broken));
/// ```
pub fn decompress(packed: &[u8]) -> Result<Bytes, Error> {
    let mut text = Vec::new();
    let mut reader = bufread::DeflateDecoder::new(packed).take(MAX_TEXT + 1);
    reader.read_to_end(&mut text).map_err(|_error| Error::Broken)?;
    if text.len() as u64 > MAX_TEXT { Err(Error::TooLong) } else { Ok(text.into()) }
}

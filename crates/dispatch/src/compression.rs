//! Packing of the configuration's text.
//!
//! Every instance is sent each version, and keepers store it.

use std::io::Read as _;

use bytes::Bytes;
use flate2::{Compression, bufread};

/// Longest text, bytes: no operator's call may be larger, and what is packed could hold anything.
const MAX_TEXT: u64 = 64 << 20;

/// What cannot be unpacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is not what [`compress`] gave.
    Broken,
    /// It holds more than 64 MB.
    TooLong,
}

/// Packs a text; the same text gives the same bytes.
pub fn compress(text: &[u8]) -> Bytes {
    let mut packed = Vec::new();
    let mut reader = bufread::DeflateEncoder::new(text, Compression::fast());
    // Reading from memory into memory does not fail.
    drop(reader.read_to_end(&mut packed));
    packed.into()
}

/// Gives the text that was packed.
///
/// # Errors
///
/// It was not compressed by [`compress`], or is too long.
///
/// ```
/// use dispatch::compression;
///
/// let packed = compression::compress(b"text");
/// assert_eq!(compression::decompress(&packed).unwrap(), "text");
/// assert_eq!(compression::decompress(b"text"), Err(compression::Fault::Broken));
/// ```
pub fn decompress(packed: &[u8]) -> Result<Bytes, Fault> {
    let mut text = Vec::new();
    let mut reader = bufread::DeflateDecoder::new(packed).take(MAX_TEXT + 1);
    reader.read_to_end(&mut text).map_err(|_broken| Fault::Broken)?;
    if text.len() as u64 > MAX_TEXT { Err(Fault::TooLong) } else { Ok(text.into()) }
}

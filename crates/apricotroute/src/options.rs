//! Command-line options: commands read them one by one, then [`finish`] rejects the rest.

use error_stack::ResultExt as _;
use pico_args::Arguments;

use crate::error;

/// Reads the value of a required option.
pub fn required(arguments: &mut Arguments, key: &'static str) -> error::Result<String> {
    arguments.value_from_str(key).change_context_lazy(|| error::Error::new("read argument", key))
}

/// Reads the value of an option, or returns its default.
pub fn option<T: std::str::FromStr>(
    arguments: &mut Arguments,
    key: &'static str,
    default: T,
) -> error::Result<T>
where
    T::Err: std::fmt::Display,
{
    let value = arguments.opt_value_from_str(key);
    let value = value.change_context_lazy(|| error::Error::new("read argument", key))?;
    Ok(value.unwrap_or(default))
}

/// Returns an error if any argument has not been read.
pub fn finish(arguments: Arguments) -> error::Result<()> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(other) => {
            Err(error_stack::Report::new(error::Error::new("unknown argument", other.display())))
        }
    }
}

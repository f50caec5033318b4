//! Checked keyword arguments of a call in a Starlark file.
//!
//! Each argument is taken once and checked; an argument that is not taken is an error. Errors name the
//! function, the argument, what was expected and what was got. They are `anyhow` errors, which Starlark
//! functions return.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use starlark::collections::SmallMap;
use starlark::values::float::UnpackFloat;
use starlark::values::list::ListRef;
use starlark::values::{UnpackValue, Value};

use crate::parameters::Parameter;

/// The keyword arguments as Starlark passes them.
pub type KeywordValues<'v> = SmallMap<String, Value<'v>>;

/// Maximum number of characters of a value that an error shows.
const SHOWN_CHARACTERS: usize = 60;
/// Maximum length of a text argument.
const MAX_TEXT_BYTES: usize = 200;
/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;
/// Characters that are separators where names are written without quotes.
const RESERVED_IN_NAMES: &[u8] = b",=+:>";

/// Which numbers an argument accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NumberKind {
    /// Whole numbers only.
    Integer,
    /// Any number.
    Real,
}

impl NumberKind {
    /// The description in errors.
    pub fn description(self) -> &'static str {
        match self {
            Self::Integer => "a whole number",
            Self::Real => "a number",
        }
    }
}

/// The keyword arguments of one call that have not been taken yet.
pub struct Arguments<'v> {
    function: &'static str,
    remaining: KeywordValues<'v>,
    /// The names that the function accepts, for the error about an unknown one.
    known: Vec<&'static str>,
}

impl<'v> Arguments<'v> {
    /// The arguments of a call; `function` is the name of the function in errors.
    pub fn new(function: &'static str, values: KeywordValues<'v>) -> Self {
        Self { function, remaining: values, known: Vec::new() }
    }

    /// Takes an argument; `None` if it is absent or `None` in the file.
    pub fn take(&mut self, name: &'static str) -> Option<Value<'v>> {
        self.known.push(name);
        self.remaining.shift_remove(name).filter(|value| !value.is_none())
    }

    /// The error for a value other than the expected one.
    pub fn invalid_value(&self, name: &str, expected: &str, value: Value<'v>) -> anyhow::Error {
        let shown: String = value.to_repr().chars().take(SHOWN_CHARACTERS).collect();
        anyhow::anyhow!("{}: {name}: expected {expected}, got {shown}", self.function)
    }

    /// Takes a text of 1 to 200 bytes.
    ///
    /// # Errors
    ///
    /// The value is not a text of 1 to 200 bytes.
    pub fn text(&mut self, name: &'static str) -> anyhow::Result<Option<String>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        Ok(Some(self.text_value(name, value)?))
    }

    /// Checks that a value is a text of 1 to 200 bytes.
    ///
    /// # Errors
    ///
    /// The value is not a text of 1 to 200 bytes.
    pub fn text_value(&self, name: &str, value: Value<'v>) -> anyhow::Result<String> {
        match value.unpack_str() {
            Some(text) if !text.is_empty() && text.len() <= MAX_TEXT_BYTES => Ok(text.to_string()),
            _ => Err(self.invalid_value(name, "a text of 1 to 200 bytes", value)),
        }
    }

    /// Checks that a value is a name that can be written without quotes.
    ///
    /// # Errors
    ///
    /// The value is not a text of 1 to 64 visible ASCII characters, or contains one of `, = + : >`.
    pub fn name_value(&self, argument: &str, value: Value<'v>) -> anyhow::Result<String> {
        const EXPECTED: &str = "a name of 1 to 64 letters, digits or signs, without , = + : >";
        match value.unpack_str() {
            Some(text) if is_plain_name(text) => Ok(text.to_string()),
            _ => Err(self.invalid_value(argument, EXPECTED, value)),
        }
    }

    /// Takes an IP address with a port.
    ///
    /// # Errors
    ///
    /// The value is not an IP address with a port.
    pub fn address(&mut self, name: &'static str) -> anyhow::Result<Option<SocketAddr>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        match value.unpack_str().and_then(|text| text.parse().ok()) {
            Some(address) => Ok(Some(address)),
            None => Err(self.invalid_value(name, "an address with its port, as in 10.0.0.4:9300", value)),
        }
    }

    /// Takes a list of names; an absent argument is an empty list.
    ///
    /// # Errors
    ///
    /// The value is not a list, or one of its items is not a name.
    pub fn names(&mut self, name: &'static str) -> anyhow::Result<Vec<String>> {
        let Some(value) = self.take(name) else { return Ok(Vec::new()) };
        let Some(list) = ListRef::from_value(value) else {
            return Err(self.invalid_value(name, "a list of names", value));
        };
        list.iter().map(|item| self.name_value(name, item)).collect()
    }

    /// Takes `True` or `False`, with a default for an absent argument.
    ///
    /// # Errors
    ///
    /// The value is neither.
    pub fn flag(&mut self, name: &'static str, default: bool) -> anyhow::Result<bool> {
        Ok(self.optional_flag(name)?.unwrap_or(default))
    }

    /// Takes `True` or `False`.
    ///
    /// # Errors
    ///
    /// The value is neither.
    pub fn optional_flag(&mut self, name: &'static str) -> anyhow::Result<Option<bool>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        match value.unpack_bool() {
            Some(flag) => Ok(Some(flag)),
            None => Err(self.invalid_value(name, "True or False", value)),
        }
    }

    /// Takes a number within a range.
    ///
    /// # Errors
    ///
    /// The value is not a number of that kind, or is out of range.
    pub fn number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<f64>,
        kind: NumberKind,
    ) -> anyhow::Result<Option<f64>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        let expected = format!("{} from {} to {}", kind.description(), range.start(), range.end());
        self.number_value(name, value, range, kind, &expected).map(Some)
    }

    /// Checks that a value is a number within a range; `expected` describes it in the error.
    ///
    /// # Errors
    ///
    /// The value is not a number of that kind, or is out of range.
    pub fn number_value(
        &self,
        name: &str,
        value: Value<'v>,
        range: RangeInclusive<f64>,
        kind: NumberKind,
        expected: &str,
    ) -> anyhow::Result<f64> {
        // Starlark converts True and False to numbers, which a setting does not accept.
        let is_flag = value.unpack_bool().is_some();
        let number = UnpackFloat::unpack_value_opt(value).filter(|_| !is_flag);
        match number {
            Some(UnpackFloat(number)) if range.contains(&number) && kind.accepts(number) => Ok(number),
            _ => Err(self.invalid_value(name, expected, value)),
        }
    }

    /// Takes every parameter of a table and sets the fields of `target` for those that are present.
    ///
    /// # Errors
    ///
    /// A value is not a number of the kind of its parameter, or is out of range.
    pub fn parameters<T>(&mut self, table: &'static [Parameter<T>], target: &mut T) -> anyhow::Result<()> {
        for parameter in table {
            let Some(value) = self.take(parameter.name) else { continue };
            let (range, expected) = (parameter.range(), parameter.expected());
            let number = self.number_value(parameter.name, value, range, parameter.kind, &expected)?;
            (parameter.set)(target, number * parameter.unit.scale);
        }
        Ok(())
    }

    /// Takes one of several texts and returns the value that it represents.
    ///
    /// # Errors
    ///
    /// The value is none of them.
    pub fn one_of<T: Copy>(
        &mut self,
        name: &'static str,
        choices: &[(&str, T)],
    ) -> anyhow::Result<Option<T>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        if let Some((_, choice)) = choices.iter().find(|(text, _)| value.unpack_str() == Some(text)) {
            return Ok(Some(*choice));
        }
        let texts: Vec<String> = choices.iter().map(|(text, _)| format!("{text:?}")).collect();
        Err(self.invalid_value(name, &texts.join(" or "), value))
    }

    /// Checks that all arguments have been taken.
    ///
    /// # Errors
    ///
    /// An argument that the function does not accept.
    pub fn finish(self) -> anyhow::Result<()> {
        let Some(unknown) = self.remaining.keys().next() else { return Ok(()) };
        let mut known = self.known;
        known.sort_unstable();
        let (function, known) = (self.function, known.join(", "));
        Err(anyhow::anyhow!("{function}: there is no setting {unknown:?}; expected one of {known}"))
    }
}

impl NumberKind {
    fn accepts(self, number: f64) -> bool {
        self == Self::Real || number.fract() == 0.0
    }
}

fn is_plain_name(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !RESERVED_IN_NAMES.contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_plain)
}

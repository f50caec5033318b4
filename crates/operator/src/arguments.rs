//! Owns the named arguments of a call in a file: each is taken once, checked, and what is left over is an error.
//!
//! Must never let a value through that was not checked. Errors name the function, the argument and what was expected.

use std::net::SocketAddr;

use starlark::collections::SmallMap;
use starlark::values::float::UnpackFloat;
use starlark::values::list::ListRef;
use starlark::values::{UnpackValue, Value};

use crate::knobs::Knob;

pub type Given<'v> = SmallMap<String, Value<'v>>;

/// The named arguments of one call; what is left over at the end is unknown.
pub struct Arguments<'v> {
    function: &'static str,
    given: Given<'v>,
    known: Vec<&'static str>,
}

impl<'v> Arguments<'v> {
    /// The arguments of a call of that function.
    pub fn new(function: &'static str, given: Given<'v>) -> Self {
        Self { function, given, known: Vec::new() }
    }

    /// An argument, if it was given and is not None.
    pub fn take(&mut self, name: &'static str) -> Option<Value<'v>> {
        self.known.push(name);
        self.given.shift_remove(name).filter(|value| !value.is_none())
    }

    /// What is wrong with a value.
    pub fn wrong(&self, name: &str, expected: &str, value: Value<'v>) -> anyhow::Error {
        let shown: String = value.to_repr().chars().take(60).collect();
        anyhow::anyhow!("{}: {name}: expected {expected}, got {shown}", self.function)
    }

    /// A short text.
    pub fn text(&mut self, name: &'static str) -> anyhow::Result<Option<String>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        Ok(Some(self.plain_text(name, value)?))
    }

    pub fn plain_text(&self, name: &str, value: Value<'v>) -> anyhow::Result<String> {
        match value.unpack_str() {
            Some(text) if !text.is_empty() && text.len() <= 200 => Ok(text.to_string()),
            _ => Err(self.wrong(name, "a text of 1 to 200 bytes", value)),
        }
    }

    /// A name that goes into fields which know no quotes.
    pub fn name(&self, what: &str, value: Value<'v>) -> anyhow::Result<String> {
        let plain = |text: &&str| {
            (1..=64).contains(&text.len())
                && text.bytes().all(|byte| byte.is_ascii_graphic() && !b",=+:>".contains(&byte))
        };
        match value.unpack_str().filter(plain) {
            Some(text) => Ok(text.to_string()),
            None => {
                Err(self.wrong(what, "a name of 1 to 64 letters, digits or signs, without , = + : >", value))
            }
        }
    }

    /// An address with its port.
    pub fn address(&mut self, name: &'static str) -> anyhow::Result<Option<SocketAddr>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        match value.unpack_str().and_then(|text| text.parse().ok()) {
            Some(address) => Ok(Some(address)),
            None => Err(self.wrong(name, "an address with its port, as in 10.0.0.4:9300", value)),
        }
    }

    /// A list of names; none is an empty one.
    pub fn names(&mut self, name: &'static str) -> anyhow::Result<Vec<String>> {
        let Some(value) = self.take(name) else { return Ok(Vec::new()) };
        let list = ListRef::from_value(value).ok_or_else(|| self.wrong(name, "a list of names", value))?;
        list.iter().map(|item| self.name(name, item)).collect()
    }

    /// True or False.
    pub fn flag(&mut self, name: &'static str, default: bool) -> anyhow::Result<bool> {
        Ok(self.choice(name)?.unwrap_or(default))
    }

    /// True, False, or as it is.
    pub fn choice(&mut self, name: &'static str) -> anyhow::Result<Option<bool>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        value.unpack_bool().map(Some).ok_or_else(|| self.wrong(name, "True or False", value))
    }

    /// A number within a range.
    pub fn number(
        &mut self,
        name: &'static str,
        range: (f64, f64),
        whole: bool,
    ) -> anyhow::Result<Option<f64>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        let kind = if whole { "a whole number" } else { "a number" };
        self.in_range(name, value, range, whole, &format!("{kind} from {} to {}", range.0, range.1)).map(Some)
    }

    pub fn in_range(
        &self,
        name: &str,
        value: Value<'v>,
        (least, most): (f64, f64),
        whole: bool,
        expected: &str,
    ) -> anyhow::Result<f64> {
        // True and False count as numbers in the language, and are none here.
        let number = UnpackFloat::unpack_value_opt(value).filter(|_| value.unpack_bool().is_none());
        let fits = |number: &f64| (least..=most).contains(number) && (!whole || number.fract() == 0.0);
        match number.map(|number| number.0).filter(fits) {
            Some(number) => Ok(number),
            None => Err(self.wrong(name, expected, value)),
        }
    }

    /// The numbers of a table.
    pub fn knobs<T>(&mut self, knobs: &'static [Knob<T>], into: &mut T) -> anyhow::Result<()> {
        for knob in knobs {
            if let Some(value) = self.take(knob.name) {
                let range = (knob.least, knob.most);
                let number = self.in_range(knob.name, value, range, knob.whole, &knob.expected())?;
                (knob.set)(into, number * knob.scale);
            }
        }
        Ok(())
    }

    /// One of some words.
    pub fn one_of<T: Copy>(
        &mut self,
        name: &'static str,
        choices: &[(&str, T)],
    ) -> anyhow::Result<Option<T>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        let found = choices.iter().find(|(word, _)| value.unpack_str() == Some(word));
        let words: Vec<String> = choices.iter().map(|(word, _)| format!("{word:?}")).collect();
        found.map(|(_, choice)| Some(*choice)).ok_or_else(|| self.wrong(name, &words.join(" or "), value))
    }

    /// Nothing else may have been given.
    pub fn end(self) -> anyhow::Result<()> {
        let Some(unknown) = self.given.keys().next() else { return Ok(()) };
        let Self { function, mut known, .. } = self;
        known.sort_unstable();
        Err(anyhow::anyhow!(
            "{function}: there is no setting {unknown:?}; expected one of {}",
            known.join(", ")
        ))
    }
}

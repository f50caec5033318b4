//! Serializes a value as JSON text, so that its names can be compared without a further dependency.

use std::fmt::{self, Display, Write};

use serde::ser::{self, Serialize};

#[derive(Debug)]
pub struct Unsupported(String);

impl Display for Unsupported {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Unsupported {}

impl ser::Error for Unsupported {
    fn custom<T: Display>(message: T) -> Self {
        Self(message.to_string())
    }
}

/// The JSON text of a value.
pub fn to_string<T: Serialize + ?Sized>(value: &T) -> String {
    let mut writer = Writer::default();
    value.serialize(&mut writer).expect("a value that JSON can represent");
    writer.text
}

#[derive(Default)]
struct Writer {
    text: String,
}

/// A sequence or an object that is being written.
struct Compound<'a> {
    writer: &'a mut Writer,
    is_first: bool,
    end: &'static str,
}

impl<'a> Compound<'a> {
    fn new(writer: &'a mut Writer, begin: &str, end: &'static str) -> Self {
        writer.text += begin;
        Self { writer, is_first: true, end }
    }

    fn separate(&mut self) {
        if !std::mem::take(&mut self.is_first) {
            self.writer.text.push(',');
        }
    }

    fn element<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), Unsupported> {
        self.separate();
        value.serialize(&mut *self.writer)
    }

    fn field<T: Serialize + ?Sized>(&mut self, name: &str, value: &T) -> Result<(), Unsupported> {
        self.separate();
        let _ = write!(self.writer.text, "{name:?}:");
        value.serialize(&mut *self.writer)
    }

    fn finish(self) -> Result<(), Unsupported> {
        self.writer.text += self.end;
        Ok(())
    }
}

macro_rules! scalars {
    ($($name:ident: $type:ty),*) => {
        $(fn $name(self, value: $type) -> Result<(), Unsupported> {
            let _ = write!(self.text, "{value:?}");
            Ok(())
        })*
    };
}

impl<'a> ser::Serializer for &'a mut Writer {
    type Ok = ();
    type Error = Unsupported;
    type SerializeSeq = Compound<'a>;
    type SerializeTuple = Compound<'a>;
    type SerializeTupleStruct = Compound<'a>;
    type SerializeTupleVariant = Compound<'a>;
    type SerializeMap = Compound<'a>;
    type SerializeStruct = Compound<'a>;
    type SerializeStructVariant = Compound<'a>;

    scalars!(serialize_bool: bool, serialize_i8: i8, serialize_i16: i16, serialize_i32: i32);
    scalars!(serialize_i64: i64);
    scalars!(serialize_u8: u8, serialize_u16: u16, serialize_u32: u32, serialize_u64: u64);
    scalars!(serialize_f32: f32, serialize_f64: f64, serialize_char: char, serialize_str: &str);

    fn serialize_bytes(self, bytes: &[u8]) -> Result<(), Unsupported> {
        bytes.serialize(self)
    }

    fn serialize_none(self) -> Result<(), Unsupported> {
        self.serialize_unit()
    }

    fn serialize_some<T: Serialize + ?Sized>(self, value: &T) -> Result<(), Unsupported> {
        value.serialize(self)
    }

    fn serialize_unit(self) -> Result<(), Unsupported> {
        self.text += "null";
        Ok(())
    }

    fn serialize_unit_struct(self, _: &'static str) -> Result<(), Unsupported> {
        self.serialize_unit()
    }

    fn serialize_unit_variant(
        self,
        _: &'static str,
        _: u32,
        variant: &'static str,
    ) -> Result<(), Unsupported> {
        self.serialize_str(variant)
    }

    fn serialize_newtype_struct<T: Serialize + ?Sized>(
        self,
        _: &'static str,
        value: &T,
    ) -> Result<(), Unsupported> {
        value.serialize(self)
    }

    fn serialize_newtype_variant<T: Serialize + ?Sized>(
        self,
        _: &'static str,
        _: u32,
        variant: &'static str,
        value: &T,
    ) -> Result<(), Unsupported> {
        let mut object = Compound::new(self, "{", "}");
        object.field(variant, value)?;
        object.finish()
    }

    fn serialize_seq(self, _: Option<usize>) -> Result<Compound<'a>, Unsupported> {
        Ok(Compound::new(self, "[", "]"))
    }

    fn serialize_tuple(self, _: usize) -> Result<Compound<'a>, Unsupported> {
        Ok(Compound::new(self, "[", "]"))
    }

    fn serialize_tuple_struct(self, _: &'static str, _: usize) -> Result<Compound<'a>, Unsupported> {
        Ok(Compound::new(self, "[", "]"))
    }

    fn serialize_tuple_variant(
        self,
        _: &'static str,
        _: u32,
        variant: &'static str,
        _: usize,
    ) -> Result<Compound<'a>, Unsupported> {
        Ok(Compound::new(self, &format!("{{{variant:?}:["), "]}"))
    }

    fn serialize_map(self, _: Option<usize>) -> Result<Compound<'a>, Unsupported> {
        Ok(Compound::new(self, "{", "}"))
    }

    fn serialize_struct(self, _: &'static str, _: usize) -> Result<Compound<'a>, Unsupported> {
        Ok(Compound::new(self, "{", "}"))
    }

    fn serialize_struct_variant(
        self,
        _: &'static str,
        _: u32,
        variant: &'static str,
        _: usize,
    ) -> Result<Compound<'a>, Unsupported> {
        Ok(Compound::new(self, &format!("{{{variant:?}:{{"), "}}"))
    }
}

impl ser::SerializeSeq for Compound<'_> {
    type Ok = ();
    type Error = Unsupported;

    fn serialize_element<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), Unsupported> {
        self.element(value)
    }

    fn end(self) -> Result<(), Unsupported> {
        self.finish()
    }
}

impl ser::SerializeTuple for Compound<'_> {
    type Ok = ();
    type Error = Unsupported;

    fn serialize_element<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), Unsupported> {
        self.element(value)
    }

    fn end(self) -> Result<(), Unsupported> {
        self.finish()
    }
}

impl ser::SerializeTupleStruct for Compound<'_> {
    type Ok = ();
    type Error = Unsupported;

    fn serialize_field<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), Unsupported> {
        self.element(value)
    }

    fn end(self) -> Result<(), Unsupported> {
        self.finish()
    }
}

impl ser::SerializeTupleVariant for Compound<'_> {
    type Ok = ();
    type Error = Unsupported;

    fn serialize_field<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), Unsupported> {
        self.element(value)
    }

    fn end(self) -> Result<(), Unsupported> {
        self.finish()
    }
}

impl ser::SerializeMap for Compound<'_> {
    type Ok = ();
    type Error = Unsupported;

    fn serialize_key<T: Serialize + ?Sized>(&mut self, key: &T) -> Result<(), Unsupported> {
        self.element(key)?;
        self.writer.text.push(':');
        Ok(())
    }

    fn serialize_value<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), Unsupported> {
        value.serialize(&mut *self.writer)
    }

    fn end(self) -> Result<(), Unsupported> {
        self.finish()
    }
}

impl ser::SerializeStruct for Compound<'_> {
    type Ok = ();
    type Error = Unsupported;

    fn serialize_field<T: Serialize + ?Sized>(
        &mut self,
        name: &'static str,
        value: &T,
    ) -> Result<(), Unsupported> {
        self.field(name, value)
    }

    fn end(self) -> Result<(), Unsupported> {
        self.finish()
    }
}

impl ser::SerializeStructVariant for Compound<'_> {
    type Ok = ();
    type Error = Unsupported;

    fn serialize_field<T: Serialize + ?Sized>(
        &mut self,
        name: &'static str,
        value: &T,
    ) -> Result<(), Unsupported> {
        self.field(name, value)
    }

    fn end(self) -> Result<(), Unsupported> {
        self.finish()
    }
}

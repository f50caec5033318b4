//! Requests an object from a router: `quickstart-client ADDRESS CLASS OBJECT`, where OBJECT is hexadecimal.

use linnethook_quickstart::Client;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let usage = "usage: quickstart-client ADDRESS CLASS OBJECT";
    let (address, class) = (arguments.next().ok_or(usage)?, arguments.next().ok_or(usage)?);
    let object = arguments.next().ok_or(usage)?;
    let mut client = Client::connect(&address)?;
    let fields = [("c", class.as_str()), ("i", "00000000000000a1"), ("d", "2000"), ("o", &object)];
    client.ask(1, &fields, b"")?;
    let answer = client.read()?;
    let code = match answer.code {
        1 => "served",
        2 => "refused",
        _ => "failed",
    };
    println!("{code} {:?}", answer.fields);
    print!("{}", String::from_utf8_lossy(&answer.body));
    Ok(())
}

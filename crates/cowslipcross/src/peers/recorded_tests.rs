//! Messages as released builds have sent them, one file for each format; see CONTRIBUTING.md.

/// Returns the recorded bytes of a message.
pub fn recorded_bytes(recorded: &str, name: &str) -> Vec<u8> {
    let mut lines = recorded.lines().filter_map(|line| line.split_once(' '));
    let hex = lines.find(|(it, _)| *it == name).expect(name).1;
    let (pairs, rest) = hex.as_bytes().as_chunks::<2>();
    assert!(rest.is_empty(), "{name}");
    let byte = |pair: &[u8; 2]| {
        let text = str::from_utf8(pair).expect("text");
        u8::from_str_radix(text, 16).expect("hexadecimal digits")
    };
    pairs.iter().map(byte).collect()
}

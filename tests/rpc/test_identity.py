"""Authentication: the hash of a token."""

from bankrudder.rpc._identity import token_hash


def test_the_hash_of_a_token_is_its_hexadecimal_sha256():
    assert token_hash("abc") == (
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    )

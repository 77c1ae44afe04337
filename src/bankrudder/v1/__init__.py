"""Generated from proto/bankrudder/v1; not edited by hand."""

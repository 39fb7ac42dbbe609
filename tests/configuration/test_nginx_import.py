"""Tests of postpass.configuration.nginx_import."""

from __future__ import annotations

from pathlib import Path

from postpass.configuration.nginx_import import carry_over


def test_upstreams_and_locations_are_converted_and_all_other_directives_are_listed(tmp_path: Path) -> None:
    file = tmp_path / "nginx.conf"
    file.write_text(
        "events {}\nhttp {\n gzip on;\n upstream app { least_conn; server 127.0.0.1:9000 weight=2; server app.local; }\n"
        " server { listen 80; location /view { proxy_pass http://app; proxy_set_header A b; }\n"
        "  location ~ x$ { proxy_pass http://app; } location /one { proxy_pass http://127.0.0.2:81; }\n"
        "  location /old/ { proxy_pass http://app/new/; } location /two { proxy_pass http://nowhere; } } }\n"
    )
    parts, notes = carry_over(str(file)).unwrap()
    assert parts["ways"] == {"/view": "app", "/one": "127.0.0.2:81"}
    assert parts["pools"]["app"]["servers"] == {"app-1": {"url": "http://127.0.0.1:9000", "area": "", "slots": 16}}
    all_notes = "\n".join(notes)
    for expected in (
        "gzip on",
        "least_conn",
        "weight=2",
        "app.local",
        "listen 80",
        "proxy_set_header",
        "~ x$",
        "unchanged",
        "nowhere",
    ):
        assert expected in all_notes, expected
    file.write_text("http { oops")
    assert carry_over(str(file)).unwrap_err()[0].startswith(f"{file}:")

"""Run an entry host on the users' platform: ``python -m cranberrywall.platform.front``."""

from cranberrywall.platform._loading import load


def main() -> None:
    """Run an entry host until SIGTERM."""
    load("cranberrywall.platform._front_program").main()


if __name__ == "__main__":
    main()

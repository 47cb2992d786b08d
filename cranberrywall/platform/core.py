"""Run a control host on the users' platform: ``python -m cranberrywall.platform.core``."""

from cranberrywall.platform._loading import load


def main() -> None:
    """Run a control host until SIGTERM."""
    load("cranberrywall.platform._core_program").main()


if __name__ == "__main__":
    main()

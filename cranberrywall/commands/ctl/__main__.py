"""Run ``cranberrywallctl`` without its installed script."""

from cranberrywall.commands.ctl import main

main()

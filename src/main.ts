import { Command } from "commander";

const program = new Command("waxwingshunt")
    .description("Dispatcher for jobs of many sub-second tasks")
    .version(process.env["WAXWINGSHUNT_VERSION"] ?? "development");

void program.parseAsync();

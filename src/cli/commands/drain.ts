/** `pomelostall drain`: take a router out of service without interrupting requests. */
import { Command } from "commander";
import type { CommandContext } from "../context.js";
import { OperatorClient } from "../operator-client.js";

interface DrainReply {
    readonly state: string;
    readonly requestsInFlight: number;
}

export function createDrainCommand(context: CommandContext): Command {
    return new Command("drain")
        .description("Take a router out of service: it finishes requests in flight, then stops")
        .option("--router <url>", "operator interface of the router")
        .option("--json", "print the result as JSON")
        .addHelpText("after", "\nExample:\n  pomelostall drain --router http://10.0.0.5:8081")
        .action(async (options: { router?: string; json?: boolean; }) => {
            const reply = await OperatorClient.fromContext(context, options.router)
                .post<DrainReply>("/operator/drain", {});
            const text = options.json === true
                ? JSON.stringify(reply)
                : `draining; ${reply.requestsInFlight} requests in flight`;
            context.output.write(`${text}\n`);
        });
}

/** `pomelostall explain`: show which pipeline a request would get now, and why. Sends nothing to backend servers. */
import { Command } from "commander";
import type { Explanation } from "../../process/operator/status.js";
import type { CommandContext } from "../context.js";
import { OperatorClient } from "../operator-client.js";

export function createExplainCommand(context: CommandContext): Command {
    return new Command("explain")
        .description("Show which pipeline a request would get now, and why")
        .argument("<route>", "route, as given by callers in the model field")
        .option("--prompt-tokens <count>", "length of the prompt in tokens", "200")
        .option("--router <url>", "operator interface of a router")
        .option("--json", "print the explanation as JSON")
        .addHelpText("after", "\nExample:\n  pomelostall explain grade-report --prompt-tokens 800")
        .action(async (route: string, options: { promptTokens: string; router?: string; json?: boolean; }) => {
            const query = new URLSearchParams({ route, promptTokens: options.promptTokens });
            const client = OperatorClient.fromContext(context, options.router);
            const explanation = await client.get<Explanation>(`/operator/explain?${query.toString()}`);
            context.output.write(
                options.json === true ? `${JSON.stringify(explanation)}\n` : formatExplanation(explanation),
            );
        });
}

function formatExplanation(explanation: Explanation): string {
    return [
        `route ${explanation.route}, model ${explanation.model}, configuration version ${explanation.configurationVersion}`,
        ...explanation.stages.map((stage, index) =>
            `  stage ${index + 1}: layers ${stage.layers} on ${stage.backendServer}`
        ),
        `expected: first token ${explanation.expectedFirstTokenMilliseconds.toFixed(1)} ms, then ${
            explanation.expectedTokenMilliseconds.toFixed(1)
        } ms per token`,
        `why: ${explanation.reason}`,
        `considered: ${explanation.considered.join(", ")}`,
        "",
    ].join("\n");
}

/** HTTP client for a router's operator interface. */
import { request } from "undici";
import { OperatorRefusedError, OperatorUnreachableError } from "../errors/index.js";
import { type CommandContext, EnvironmentName, operatorAddress } from "./context.js";

const timeoutMilliseconds = 30_000;

export class OperatorClient {
    constructor(private readonly address: string, private readonly credential: string | undefined) {}

    /** Creates a client for the address of the `--router` option, with the credential from the environment. */
    static fromContext(context: CommandContext, option: string | undefined): OperatorClient {
        return new OperatorClient(operatorAddress(context, option), context.environment[EnvironmentName.credential]);
    }

    /** Rejects with an OperatorUnreachableError or, if the status is not 200, an OperatorRefusedError; `post` too. */
    get<Reply>(path: string): Promise<Reply> {
        return this.call("GET", path, undefined);
    }

    post<Reply>(path: string, body: unknown): Promise<Reply> {
        return this.call("POST", path, body);
    }

    private async call<Reply>(method: "GET" | "POST", path: string, body: unknown): Promise<Reply> {
        const response = await this.send(method, path, body);
        const text = await response.body.text();
        if (response.statusCode !== 200) {
            throw new OperatorRefusedError(
                `${method} ${path}: expected status 200, got ${response.statusCode}: ${text}`,
            );
        }
        return JSON.parse(text) as Reply;
    }

    private async send(method: "GET" | "POST", path: string, body: unknown) {
        try {
            return await request(`${this.address}${path}`, {
                method,
                headers: {
                    "content-type": "application/json",
                    ...(this.credential === undefined ? {} : { authorization: `Bearer ${this.credential}` }),
                },
                body: body === undefined ? undefined : JSON.stringify(body),
                headersTimeout: timeoutMilliseconds,
                bodyTimeout: timeoutMilliseconds,
            });
        }
        catch (error) {
            throw new OperatorUnreachableError(this.address, error);
        }
    }
}

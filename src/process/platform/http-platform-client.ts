/** One HTTP client of the platform's addresses: timeouts on the runtime's clock, and another address after a failure. */
import { Agent, request } from "undici";
import { PlatformUnavailableError } from "../../errors/index.js";

const maximumConnections = 16;
const connectTimeoutMilliseconds = 1_000;

/** An answer of the platform. */
export interface PlatformResponse {
    readonly status: number;
    readonly body: unknown;
}

/** Sends JSON to the platform. Every failure is a PlatformUnavailableError. */
export class HttpPlatformClient {
    private readonly agent = new Agent({
        connections: maximumConnections,
        pipelining: 1,
        connect: { timeout: connectTimeoutMilliseconds },
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    private addressIndex = 0;

    /** Takes one or more base URLs by IP number. */
    constructor(private readonly addresses: readonly string[]) {}

    /** Sends a request; without a body it is a GET. */
    async call(
        path: string,
        body: unknown,
        timeoutMilliseconds: number,
        isWrite: boolean,
    ): Promise<PlatformResponse> {
        const controller = new AbortController();
        const timer = setTimeout(() => controller.abort(), timeoutMilliseconds);
        try {
            const response = await this.send(path, body, controller.signal);
            const parsed: unknown = await response.body.json();
            if (response.statusCode >= 500) {
                throw new PlatformUnavailableError(`The platform answered ${response.statusCode}.`, isWrite);
            }
            return { status: response.statusCode, body: parsed };
        }
        catch (error) {
            this.useNextAddress();
            throw describeFailure(error, controller.signal.aborted, timeoutMilliseconds, isWrite);
        }
        finally {
            clearTimeout(timer);
        }
    }

    /** Opens a streamed answer and gives each chunk to the receiver until the stream ends. */
    async stream(
        path: string,
        body: unknown,
        signal: AbortSignal,
        receive: (chunk: Uint8Array) => void,
    ): Promise<void> {
        try {
            const response = await this.send(path, body, signal);
            for await (const chunk of response.body) {
                receive(chunk as Uint8Array);
            }
        }
        catch (error) {
            this.useNextAddress();
            throw describeFailure(error, false, 0, false);
        }
    }

    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private send(path: string, body: unknown, signal: AbortSignal) {
        return request(new URL(path, this.addresses[this.addressIndex]), {
            method: body === undefined ? "GET" : "POST",
            headers: { "content-type": "application/json" },
            body: body === undefined ? undefined : JSON.stringify(body),
            dispatcher: this.agent,
            signal,
        });
    }

    private useNextAddress(): void {
        this.addressIndex = (this.addressIndex + 1) % this.addresses.length;
    }
}

function describeFailure(
    error: unknown,
    timedOut: boolean,
    timeoutMilliseconds: number,
    isWrite: boolean,
): PlatformUnavailableError {
    if (error instanceof PlatformUnavailableError) {
        return error;
    }
    if (timedOut) {
        return new PlatformUnavailableError(`No answer in ${timeoutMilliseconds} ms.`, isWrite, error);
    }
    return new PlatformUnavailableError("The platform cannot be reached.", isWrite && !neverConnected(error), error);
}

/** Whether no connection was made, so that the request can't have had an effect. */
function neverConnected(error: unknown): boolean {
    const code = (error as { code?: unknown; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "EHOSTUNREACH";
}

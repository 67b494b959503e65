/** HTTP client of the platform's services, with timeouts and failover to the next address after a failure. */
import { Agent, request } from "undici";
import { readBoundedText } from "../../common/read-bounded-text.js";
import { PlatformUnavailableError } from "../../errors/index.js";

const maximumConnections = 16;
const connectTimeoutMilliseconds = 1_000;
/** Fits a read of every value of a large fleet. */
const maximumResponseBytes = 64_000_000;

/** A response of the platform with its parsed JSON body. */
export interface PlatformResponse {
    readonly status: number;
    readonly body: unknown;
}

/** Sends JSON requests to the platform. Rejects with a PlatformUnavailableError on every failure. */
export class HttpPlatformClient {
    private readonly agent = new Agent({
        connections: maximumConnections,
        pipelining: 1,
        connect: { timeout: connectTimeoutMilliseconds },
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    private addressIndex = 0;

    /** Takes one or more base URLs with IP addresses as hosts. */
    constructor(private readonly addresses: readonly string[]) {}

    /**
     * Sends a POST with a JSON body, or a GET if the body is undefined. `isWrite` marks calls that change data: if such
     * a call fails after it was sent, the error says that it may have taken effect.
     */
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
            const parsed: unknown = JSON.parse(await readBoundedText(response.body, maximumResponseBytes));
            if (response.statusCode >= 500) {
                throw new PlatformUnavailableError(
                    `The platform answered with status ${response.statusCode}.`,
                    isWrite,
                );
            }
            return { status: response.statusCode, body: parsed };
        }
        catch (error) {
            this.useNextAddress();
            throw toUnavailableError(error, controller.signal.aborted, timeoutMilliseconds, isWrite);
        }
        finally {
            clearTimeout(timer);
        }
    }

    /** Sends a request and calls `onChunk` for each chunk of the response until it ends. There is no timeout. */
    async stream(
        path: string,
        body: unknown,
        signal: AbortSignal,
        onChunk: (chunk: Uint8Array) => void,
    ): Promise<void> {
        try {
            const response = await this.send(path, body, signal);
            for await (const chunk of response.body) {
                onChunk(chunk as Uint8Array);
            }
        }
        catch (error) {
            this.useNextAddress();
            throw toUnavailableError(error, false, 0, false);
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

function toUnavailableError(
    error: unknown,
    timedOut: boolean,
    timeoutMilliseconds: number,
    isWrite: boolean,
): PlatformUnavailableError {
    if (error instanceof PlatformUnavailableError) {
        return error;
    }
    if (timedOut) {
        return new PlatformUnavailableError(
            `The platform did not answer within ${timeoutMilliseconds} ms.`,
            isWrite,
            error,
        );
    }
    return new PlatformUnavailableError(
        "The platform cannot be reached.",
        isWrite && !failedBeforeConnecting(error),
        error,
    );
}

/** Whether no connection was established, so that the request cannot have had an effect. */
function failedBeforeConnecting(error: unknown): boolean {
    const code = (error as { code?: unknown; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "EHOSTUNREACH";
}

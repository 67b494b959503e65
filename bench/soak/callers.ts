/** The callers of the soak test. They record the response to every request for the reconciliation. */
import { randomUUID } from "node:crypto";
import { Agent, request } from "undici";
import { randomInteger, type RandomSource } from "../../src/common/random.js";
import type { RunningRouter } from "../support/router-fleet.js";

const customerKeys = ["demo-kewdale-weighbridge", "demo-bibra-lake", "demo-export-desk"];
const routes = ["grade-report", "contamination-summary"];
const timeoutMilliseconds = 15_000;
const maximumTokens = 24;
const duplicateBookingShare = 0.2;

/** A chat request and its response. */
export interface ChatObservation {
    readonly requestId: string;
    readonly content: string;
    readonly maximumTokens: number;
    readonly status: number;
    readonly text: string | undefined;
    readonly outcome: string | undefined;
    readonly code: string | undefined;
}

/** The response to one delivery of a booking. */
export interface BookingObservation {
    readonly key: string;
    readonly status: number;
    readonly outcome: string | undefined;
    readonly code: string | undefined;
}

interface FailureBody {
    readonly error?: { readonly code: string; readonly outcome: string; };
}

interface ChatBody extends FailureBody {
    readonly choices?: readonly { readonly message: { readonly content: string; }; }[];
}

export class Callers {
    readonly chats: ChatObservation[] = [];
    readonly bookings: BookingObservation[] = [];
    /** Requests for which no HTTP response was received. */
    unansweredCount = 0;
    requestCount = 0;
    private readonly agent = new Agent({ pipelining: 1 });

    constructor(private readonly routers: readonly RunningRouter[], private readonly random: RandomSource) {}

    async chat(): Promise<void> {
        this.requestCount++;
        const requestId = randomUUID();
        const content = `Grade load ${randomInteger(this.random, 1e6)} of the morning.`;
        const body = {
            model: this.pickRandom(routes),
            max_tokens: maximumTokens,
            messages: [{ role: "user", content }],
        };
        const reply = await this.send("/v1/chat/completions", JSON.stringify(body), {
            "x-request-id": requestId,
            "authorization": `Bearer ${this.pickRandom(customerKeys)}`,
        });
        if (reply === undefined) {
            this.unansweredCount++;
            return;
        }
        const parsed = JSON.parse(reply.text) as ChatBody;
        this.chats.push({
            requestId,
            content,
            maximumTokens,
            status: reply.status,
            text: parsed.choices?.[0]?.message.content,
            outcome: parsed.error?.outcome,
            code: parsed.error?.code,
        });
    }

    /** Sends a booking once or twice with the same idempotency key; each delivery goes to a random router. */
    async book(): Promise<void> {
        const key = randomUUID();
        // Idempotency keys are scoped to a customer, so all deliveries must use the same customer.
        const customerKey = this.pickRandom(customerKeys);
        const deliveries = this.random.next() < duplicateBookingShare ? 2 : 1;
        await Promise.all(Array.from({ length: deliveries }, () => this.sendBooking(key, customerKey)));
    }

    private async sendBooking(key: string, customerKey: string): Promise<void> {
        this.requestCount++;
        const reply = await this.send("/services/bookings/bookings", JSON.stringify({ key }), {
            "idempotency-key": key,
            "authorization": `Bearer ${customerKey}`,
        });
        if (reply === undefined) {
            this.unansweredCount++;
            return;
        }
        const parsed = JSON.parse(reply.text) as FailureBody;
        this.bookings.push({ key, status: reply.status, outcome: parsed.error?.outcome, code: parsed.error?.code });
    }

    private async send(path: string, body: string, headers: Record<string, string>) {
        const router = this.pickRandom(this.routers);
        try {
            const response = await request(`${router.router.callersAddress}${path}`, {
                method: "POST",
                dispatcher: this.agent,
                headers: {
                    ...headers,
                    "x-request-timeout-ms": String(timeoutMilliseconds),
                },
                body,
                headersTimeout: 2 * timeoutMilliseconds,
                bodyTimeout: 2 * timeoutMilliseconds,
            });
            return { status: response.statusCode, text: await response.body.text() };
        }
        catch {
            return undefined;
        }
    }

    private pickRandom<Item>(items: readonly Item[]): Item {
        return items[randomInteger(this.random, items.length)]!;
    }

    close(): Promise<void> {
        return this.agent.destroy();
    }
}

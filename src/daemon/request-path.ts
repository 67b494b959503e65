/** Composes the request handling of a router: admission, model answers, plain services and bookings. */
import type { LifeCycle } from "../common/life-cycle.js";
import type { Logger } from "../common/logger.js";
import type { Metrics } from "../common/metrics.js";
import type { RandomSource } from "../common/random.js";
import type { ConfigurationSource } from "../domain/configuration.js";
import type { KeyValueService } from "../domain/platform.js";
import { CustomerLimits } from "../process/customer-limits/customer-limits.js";
import type { DrainController } from "../process/drain/drain-controller.js";
import { TokenBucketRetryBudgets } from "../process/retry-budgets/token-bucket-retry-budgets.js";
import type { RouterSettings } from "../process/settings/schema.js";
import { AdaptiveTokenLimit } from "../request/admission/adaptive-token-limit.js";
import { FairAdmission } from "../request/admission/fair-admission.js";
import { PipelineAnswerService } from "../request/answer/pipeline-answer-service.js";
import { ChatHandler } from "../request/chat/chat-handler.js";
import { CallerHandler } from "../request/http/caller-handler.js";
import type { BodyLimits } from "../request/http/read-body.js";
import { ModelsHandler } from "../request/models/models-handler.js";
import type { PipelineChooser } from "../request/pipeline-choice/types.js";
import { ServiceCaller } from "../request/service/service-caller.js";
import { ServiceHandler } from "../request/service/service-handler.js";
import type { BackendServerComponents } from "./backend-servers.js";
import { BookingComponents } from "./bookings.js";
import type { PeerComponents } from "./peers.js";

/** Initial limit of tokens in flight; the limit then adapts to the latency and refusals of the backend servers. */
const initialTokenLimit = 100_000;

export interface RequestPathOptions {
    readonly settings: RouterSettings;
    readonly configurations: ConfigurationSource;
    readonly drain: DrainController;
    readonly keyValueService: KeyValueService;
    readonly peers: PeerComponents;
    readonly backendServers: BackendServerComponents;
    readonly chooser: PipelineChooser;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class RequestPath {
    /** HTTP handler for callers' requests. */
    readonly handler: CallerHandler;
    private readonly retryBudgets = new TokenBucketRetryBudgets();
    private readonly limits: CustomerLimits;
    private readonly bookings: BookingComponents;
    private readonly serviceCaller: ServiceCaller;

    constructor(private readonly options: RequestPathOptions) {
        this.limits = new CustomerLimits(options.peers.membership);
        this.bookings = this.createBookings();
        this.serviceCaller = this.createServiceCaller();
        this.handler = this.createHandler();
    }

    /** Adds the components in the order in which they must start. */
    addTo(lifeCycle: LifeCycle): void {
        lifeCycle.add(this.limits);
        lifeCycle.add(this.bookings.ledger);
        lifeCycle.add(this.bookings.outcomes);
        lifeCycle.addCloseHandler("service connections", () => this.serviceCaller.close());
    }

    private createBookings(): BookingComponents {
        const { keyValueService, peers, logger, metrics } = this.options;
        const bookings = new BookingComponents({
            keyValueService,
            fleet: peers.membership,
            peers: peers.ledger,
            logger,
            metrics,
        });
        peers.setBookingHandler((operation, timeout) => bookings.ledger.submitLocally(operation, timeout));
        return bookings;
    }

    private createServiceCaller(): ServiceCaller {
        const { backendServers, configurations, peers, random, logger, metrics } = this.options;
        return new ServiceCaller({
            instances: backendServers.services,
            ownLocation: peers.membership.self.location,
            topology: () => configurations.current.topology,
            health: backendServers.health,
            retryBudgets: this.retryBudgets,
            random,
            logger: logger.withLabel("services"),
            metrics,
        });
    }

    private createHandler(): CallerHandler {
        const { configurations, drain, logger, metrics } = this.options;
        const chat = this.createChatHandler();
        const services = this.createServiceHandler();
        const models = new ModelsHandler();
        return new CallerHandler(
            configurations,
            drain,
            {
                chat: exchange => chat.handle(exchange),
                listModels: exchange => models.list(exchange),
                retrieveModel: (exchange, name) => models.retrieve(exchange, name),
                service: (exchange, name, path) => services.handle(exchange, name, path),
            },
            () => drain.ready && configurations.current.version > 0,
            metrics,
            logger.withLabel("callers"),
        );
    }

    private createChatHandler(): ChatHandler {
        const { settings, backendServers, chooser, random, logger, metrics } = this.options;
        const tokenLimit = new AdaptiveTokenLimit(initialTokenLimit, metrics);
        const answers = new PipelineAnswerService({
            chooser,
            connections: backendServers.connections,
            inFlightCounter: backendServers.inFlightCounter,
            health: backendServers.health,
            retryBudgets: this.retryBudgets,
            capacity: tokenLimit,
            random,
            logger: logger.withLabel("answers"),
            metrics,
        });
        const admission = new FairAdmission({
            limits: this.limits,
            tokenLimit,
            logger: logger.withLabel("admission"),
            metrics,
        });
        return new ChatHandler(admission, answers, metrics, {
            bodyLimits: this.bodyLimits,
            maximumTimeoutMilliseconds: settings.callers.maximumTimeoutMilliseconds,
        });
    }

    private createServiceHandler(): ServiceHandler {
        const { callers } = this.options.settings;
        return new ServiceHandler(this.serviceCaller, this.bookings.service, {
            bodyLimits: this.bodyLimits,
            maximumTimeoutMilliseconds: callers.maximumTimeoutMilliseconds,
            maximumBookingResponseBytes: callers.maximumBodyBytes,
        });
    }

    private get bodyLimits(): BodyLimits {
        const { callers } = this.options.settings;
        return { maximumBytes: callers.maximumBodyBytes, timeoutMilliseconds: callers.bodyTimeoutMilliseconds };
    }
}

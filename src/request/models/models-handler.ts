/** GET /v1/models: lists the routes that the customer may use, as models; GET /v1/models/{name} returns one. */
import { isCustomerAllowed } from "../../domain/configuration.js";
import { NotFoundError } from "../../errors/index.js";
import { sendJson } from "../http/json-responses.js";
import type { CallerExchange } from "../http/types.js";

export class ModelsHandler {
    list(exchange: CallerExchange): void {
        sendJson(exchange.response, 200, { object: "list", data: usableModels(exchange) });
    }

    retrieve(exchange: CallerExchange, name: string): void {
        const found = usableModels(exchange).find(model => model.id === name);
        if (found === undefined) {
            throw new NotFoundError(`The model '${name}' does not exist or is not offered to this customer.`);
        }
        sendJson(exchange.response, 200, found);
    }
}

function usableModels(exchange: CallerExchange) {
    const created = Math.floor(Date.parse(exchange.configuration.acceptedAt) / 1000) || 0;
    return [...exchange.configuration.routes.values()]
        .filter(route => isCustomerAllowed(route.customers, exchange.customer))
        .map(route => ({ id: route.name, object: "model", created, owned_by: "pomelostall" }));
}

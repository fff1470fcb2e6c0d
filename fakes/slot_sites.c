#include "common/clk.h"
#include "fakes/slot_model.h"

void slot_model_fund(struct slot_model_cfg *cfg)
{
	*cfg = (struct slot_model_cfg){
		.policy = PICK_BROKER,
		.seed = 1,
		.warmup = CLK_SEC(5),
		.end = CLK_SEC(35),
		.slots_low = 3,
		.slots_vary = true,
		.hop_near = 100,
		.hop_far = 500,
		.region_hop = CLK_MS(55),
		.report_interval = CLK_SEC(1),
		.rank =
			{
				[RANK_URGENT] = {.load = 0.30,
						 .service = CLK_MS(20),
						 .deadline = CLK_SEC(1),
						 .reserved_pct = 50},
				[RANK_NORMAL] = {.load = 0.25,
						 .service = CLK_MS(40),
						 .deadline = CLK_SEC(3),
						 .reserved_pct = 30},
				[RANK_BULK] = {.load = 0.25,
					       .service = CLK_MS(150),
					       .deadline = CLK_SEC(10),
					       .reserved_pct = 20},
			},
		.zero_load_upstream = SLOT_MODEL_NONE,
		.slow = SLOT_MODEL_NONE,
		.slow_factor = 1,
		.slow_period = 1,
	};
}

void slot_model_guild(struct slot_model_cfg *cfg)
{
	slot_model_fund(cfg);
	cfg->slots_vary = false;
	cfg->hop_far = 1500;
	cfg->region_hop = CLK_MS(35);
}

package experiment

import "image/color"

// colors distinguish the rules; they also differ in brightness.
var colors = []color.Color{
	color.RGBA{R: 20, G: 60, B: 120, A: 255},
	color.RGBA{R: 200, G: 80, B: 40, A: 255},
	color.RGBA{R: 90, G: 150, B: 70, A: 255},
	color.RGBA{R: 150, G: 100, B: 170, A: 255},
	color.RGBA{R: 230, G: 180, B: 60, A: 255},
	color.RGBA{R: 130, G: 130, B: 130, A: 255},
}
